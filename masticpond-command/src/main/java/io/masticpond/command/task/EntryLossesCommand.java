package io.masticpond.command.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.masticpond.command.view.LossCounts;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Command that counts, from the logs of instances, the requests that were not answered in time, by
 * time and cause.
 */
@Command(
        name = "losses",
        description = {
            "Count from logs which requests were not answered in time, when and why.",
            "Asks no instance. What stands before the first brace of a line is passed over."
        })
final class EntryLossesCommand implements Callable<Integer> {

    private final CommandContext mContext;
    private final ObjectMapper mMapper = JsonMapper.builder().build();

    @Parameters(paramLabel = "FILE", arity = "1..*", description = "The logs of the instances.")
    private List<Path> mFiles;

    @Option(
            names = "--window",
            paramLabel = "TIME",
            defaultValue = "2s",
            converter = DurationConverter.class,
            description = "How much time a row spans (${DEFAULT-VALUE}).")
    private Duration mWindow;

    EntryLossesCommand(CommandContext context) {
        mContext = context;
    }

    @Override
    public Integer call() {
        if (mWindow.toMillis() <= 0) {
            return fail(ExitCode.BAD_USAGE, "A window must last a while.");
        }
        LossCounts counts = new LossCounts(mWindow);
        for (Path file : mFiles) {
            try {
                read(file, counts);
            } catch (IOException e) {
                return fail(ExitCode.BAD_USAGE, file + " can't be read: " + e);
            }
        }
        if (counts.requests() == 0) {
            return fail(ExitCode.FAILED, "There is no line of a request.");
        }
        counts.show(mContext.page());
        return ExitCode.DONE.code();
    }

    private int fail(ExitCode code, String message) {
        return mContext.report(CommandError.of(code, message));
    }

    private void read(Path file, LossCounts counts) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            String line = reader.readLine();
            while (line != null) {
                count(line, counts);
                line = reader.readLine();
            }
        } catch (MalformedInputException e) {
            throw new IOException("It is no text.", e);
        }
    }

    /**
     * Counts a log line. Lines that are not valid JSON are skipped, such as the truncated last line
     * of an instance that was killed.
     */
    private void count(String line, LossCounts counts) {
        int start = line.indexOf('{');
        if (start < 0) {
            return;
        }
        try {
            counts.add(mMapper.readTree(line.substring(start)));
        } catch (JsonProcessingException e) {
            return;
        }
    }
}
