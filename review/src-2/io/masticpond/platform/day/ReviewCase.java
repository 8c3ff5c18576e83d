package io.masticpond.platform.day;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Frame of a review case: it starts the processes with the command of the deploy file, writes the
 * record and ends with the exit status that the case asks for.
 */
abstract class ReviewCase {

    /** Exit status if the rule held. */
    static final int HELD = 0;

    /** Exit status if the rule was broken. */
    static final int BROKEN = 1;

    /** Exit status if the case could not be played. */
    static final int NOT_PLAYED = 2;

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");
    private static final long MAXIMUM_MILLIS = 110_000;

    /** Whether the disruption is played; {@code TROUBLE=0} leaves it out. */
    final boolean mIsDisrupted = !"0".equals(System.getenv("TROUBLE"));

    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mRecord;

    ReviewCase(Path record) throws IOException {
        mRecord = new PrintWriter(Files.newBufferedWriter(record, StandardCharsets.UTF_8));
    }

    /**
     * Plays the case.
     *
     * @param platform platform with a store and no instances
     * @return whether the rule held
     */
    abstract boolean play(LocalPlatform platform) throws IOException, InterruptedException;

    /** Plays a case and exits with its status. */
    static void main(ReviewCase review, List<String> zones) throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("The deploy file has no line to run.");
        }
        int status = NOT_PLAYED;
        LocalPlatform platform =
                new LocalPlatform(
                        Arrays.asList(run.group(1).split(" ")),
                        Path.of("deploy/settings.json"),
                        zones);
        Runtime.getRuntime().addShutdownHook(new Thread(platform::close, "stop"));
        Thread limit = DayThreads.daemon(ReviewCase::exitAtLimit);
        limit.start();
        try {
            status = review.play(platform) ? HELD : BROKEN;
        } catch (IOException | IllegalStateException | InterruptedException exception) {
            review.record("The case could not be played: %s", exception);
            exception.printStackTrace();
        } finally {
            review.record("exit status %d", status);
            review.mRecord.close();
            platform.close();
            if (System.getenv("KEEP_LOGS") == null) {
                platform.deleteFiles();
            }
        }
        System.exit(status);
    }

    private static void exitAtLimit() {
        try {
            TimeUnit.MILLISECONDS.sleep(MAXIMUM_MILLIS);
        } catch (InterruptedException exception) {
            return;
        }
        System.err.println("The case took too long.");
        System.exit(NOT_PLAYED);
    }

    /** Writes a line with the time since the start in seconds. */
    synchronized void record(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, format, arguments);
        mRecord.printf(Locale.ROOT, "%8.3f  %s%n", seconds(System.nanoTime()), line);
    }

    /** Writes a line to the record and to standard output. */
    void report(String format, Object... arguments) {
        record(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    /** Returns a time in seconds since the start of the case. */
    double seconds(long nanos) {
        return (nanos - mStartNanos) / 1e9;
    }

    /** Waits until a time. */
    static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }
}
