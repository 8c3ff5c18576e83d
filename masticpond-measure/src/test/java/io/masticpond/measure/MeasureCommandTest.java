package io.masticpond.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.LongFunction;
import net.jqwik.api.Example;
import picocli.CommandLine;

/** Tests for {@link MeasureCommand}. */
class MeasureCommandTest {

    private static final Measure PASSING =
            new FakeMeasure(
                    "good",
                    seed ->
                            new MeasureReport()
                                    .figure("seed", seed, MeasureTarget.atLeast(1))
                                    .figure("share", 0.25, MeasureTarget.atMost(0.5)));
    private static final Measure MISSING_TARGET =
            new FakeMeasure(
                    "missing",
                    seed -> new MeasureReport().figure("share", 0.6, MeasureTarget.atMost(0.5)));
    private static final Measure FAILING =
            new FakeMeasure(
                    "broken",
                    seed -> {
                        throw new IllegalStateException("It broke.");
                    });

    private final StringWriter mOutput = new StringWriter();

    @Example
    void printsFiguresAsJsonObjectOnLastLine() throws IOException {
        require(
                run(List.of(PASSING), "good", "--seed", "7") == 0,
                "A good measure must exit with 0.");
        JsonNode json = new ObjectMapper().readTree(lastLine());
        require(json.get("seed").asLong() == 7, "The seed must reach the measure.");
        require(json.get("share").asDouble() == 0.25, "A figure must keep its value.");
    }

    @Example
    void exitsWithOwnCodeWhenTargetIsMissed() {
        require(run(List.of(MISSING_TARGET), "missing") == 3, "A missed target must exit with 3.");
        require(mOutput.toString().contains("| no "), "The table must say which target is missed.");
    }

    @Example
    void nanFigureMissesTargetAndIsNullInJson() {
        Measure measure =
                new FakeMeasure(
                        "odd",
                        seed ->
                                new MeasureReport()
                                        .figure("odd", Double.NaN, MeasureTarget.atMost(1)));
        require(run(List.of(measure), "odd") == 3, "No number must exit with 3.");
        require(lastLine().equals("{\"odd\":null}"), "No number must be null in the JSON.");
    }

    @Example
    void rejectsUnknownOrMissingName() {
        require(run(List.of(PASSING), "nonesuch") == 2, "An unknown measure must exit with 2.");
        require(run(List.of(PASSING)) == 2, "No measure must exit with 2.");
    }

    @Example
    void failedMeasureIsOnPageAndDoesNotStopOthers() throws IOException {
        Path directory = Files.createTempDirectory("measurements");
        int exitCode =
                run(List.of(FAILING, PASSING), "all", "--documentation", directory.toString());
        require(exitCode == 1, "A broken measure must exit with 1.");
        String page = Files.readString(directory.resolve("MEASUREMENTS.md"));
        require(page.contains("**Failed**"), "The page must name the broken measure.");
        require(page.contains("| share "), "The page must have the figures of the good measure.");
        require(
                lastLine().equals("{\"measures\":2,\"failed\":1,\"missedTargets\":0}"),
                "The last line must count what failed.");
    }

    private int run(List<Measure> measures, String... arguments) {
        CommandLine commandLine = new CommandLine(new MeasureCommand(measures));
        commandLine.setOut(new PrintWriter(mOutput));
        commandLine.setErr(new PrintWriter(new StringWriter()));
        return commandLine.execute(arguments);
    }

    private String lastLine() {
        List<String> lines = mOutput.toString().lines().toList();
        return lines.get(lines.size() - 1);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    private record FakeMeasure(String name, LongFunction<MeasureReport> body) implements Measure {

        @Override
        public String explanation() {
            return "Explains " + name + ".";
        }

        @Override
        public MeasureReport run(long seed) {
            return body.apply(seed);
        }
    }
}
