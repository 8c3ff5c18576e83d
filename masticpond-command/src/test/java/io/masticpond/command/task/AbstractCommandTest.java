package io.masticpond.command.task;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.ToIntFunction;

/** Base class for tests that run the program against fake instances. */
abstract class AbstractCommandTest {

    private static final long FIRST_TIMEOUT_MILLIS = 200;
    private static final int MAXIMUM_ROUNDS = 9;
    private static final String INTENT = "{\"services\":[]}";

    final FakeTerminal mTerminal = new FakeTerminal();

    final int run(String instances, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.add("--instances=" + instances);
        if (all.stream().noneMatch(argument -> argument.startsWith("--timeout="))) {
            all.add("--timeout=60s");
        }
        return run(Map.of("MASTICPOND_TOKEN", FakeInstance.TOKEN), all);
    }

    /**
     * Runs the program with a timeout that doubles in each round, until the exit code is accepted
     * or the rounds are used up. The timeout starts short so that a hung instance costs little
     * time, and grows because a healthy instance may need longer on a busy machine. Returns the
     * last exit code.
     */
    final int runUntil(IntPredicate accepted, ToIntFunction<String> run) {
        int code = run.applyAsInt(timeout(0));
        for (int round = 1; round < MAXIMUM_ROUNDS && !accepted.test(code); round++) {
            code = run.applyAsInt(timeout(round));
        }
        return code;
    }

    private static String timeout(int round) {
        return "--timeout=" + (FIRST_TIMEOUT_MILLIS << round) + "ms";
    }

    final int run(Map<String, String> environment, List<String> arguments) {
        return Commands.run(
                arguments.toArray(String[]::new),
                mTerminal,
                environment,
                new ByteArrayInputStream(INTENT.getBytes(StandardCharsets.UTF_8)));
    }
}
