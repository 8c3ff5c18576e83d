package io.masticpond.measure.fleet;

import io.masticpond.core.support.Assert;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Child process of this program, whose output is appended to a file.
 *
 * <p>{@link #close()} stops the process.
 *
 * @since 0.1
 */
public final class ChildProcess implements AutoCloseable {

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);

    private final String mName;
    private final Process mProcess;
    private final Path mOutput;

    private ChildProcess(String name, Process process, Path output) {
        mName = name;
        mProcess = process;
        mOutput = output;
    }

    /**
     * Starts a program as a child process.
     *
     * @param name the name of the process in messages
     * @param command the path of the program and its arguments
     * @param output the file that its output is appended to
     * @return the started process
     * @throws UncheckedIOException if the program can't be started
     */
    public static ChildProcess start(String name, List<String> command, Path output) {
        Assert.notEmpty(command, "A command");
        try {
            Process process =
                    new ProcessBuilder(command)
                            .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .start();
            return new ChildProcess(name, process, output);
        } catch (IOException e) {
            throw new UncheckedIOException("The process " + name + " did not start.", e);
        }
    }

    /**
     * Returns the name of the process in messages.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the file that the output of the process is appended to.
     *
     * @return the file
     */
    public Path output() {
        return mOutput;
    }

    /**
     * Determines whether the process is running.
     *
     * @return {@code true} if the process is running
     */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /**
     * Returns the operating system's id of the process.
     *
     * @return the process id
     */
    public long pid() {
        return mProcess.pid();
    }

    /** Kills the process at once, to simulate a crash, and waits up to 40 s for its end. */
    public void kill() {
        mProcess.destroyForcibly();
        await(STOP_TIMEOUT);
    }

    /**
     * Requests an orderly stop of the process and waits up to 40 s, after which it is killed.
     *
     * @return the exit code, or -1 if the process did not stop in time and was killed
     */
    public int stop() {
        mProcess.destroy();
        if (await(STOP_TIMEOUT)) {
            return mProcess.exitValue();
        }
        mProcess.destroyForcibly();
        return -1;
    }

    /** Requests an orderly stop of the process without waiting for it. */
    public void terminate() {
        mProcess.destroy();
    }

    @Override
    public void close() {
        stop();
    }

    private boolean await(Duration timeout) {
        try {
            return mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
