package io.masticpond.model;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Runs every command of every specification and compares the outcome with its {@code expect}.
 *
 * <p>A check of a safety property has {@code expect 0}. A run that shows that a state of interest
 * is reachable, and a check of a mutant without its guard, have {@code expect 1}. A command without
 * an expectation fails the test.
 */
class SpecificationTest {

    private static final Path MODELS = Path.of("src/test/resources/models");

    @Example
    void everyCommandHasExpectedOutcome() throws IOException {
        List<Path> models;
        try (Stream<Path> files = Files.list(MODELS)) {
            models = files.filter(file -> file.toString().endsWith(".als")).sorted().toList();
        }
        if (models.isEmpty()) {
            throw new AssertionError("No specification was found in " + MODELS + ".");
        }
        List<String> failures =
                models.parallelStream().flatMap(SpecificationTest::failuresOf).toList();
        if (!failures.isEmpty()) {
            throw new AssertionError(String.join("\n", failures));
        }
    }

    private static Stream<String> failuresOf(Path model) {
        CompModule module =
                CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, model.toString());
        return module.getAllCommands().parallelStream()
                .flatMap(command -> failureOf(model, module, command));
    }

    private static Stream<String> failureOf(Path model, CompModule module, Command command) {
        long start = System.nanoTime();
        boolean satisfiable =
                TranslateAlloyToKodkod.execute_command(
                                A4Reporter.NOP,
                                module.getAllReachableSigs(),
                                command,
                                new A4Options())
                        .satisfiable();
        long millis = (System.nanoTime() - start) / 1_000_000;
        String name = model.getFileName() + " " + command.label;
        System.out.printf(
                "%-60s %-5s expect %2d %6d ms%n",
                name, satisfiable ? "SAT" : "UNSAT", command.expects, millis);
        if (command.expects == (satisfiable ? 1 : 0)) {
            return Stream.empty();
        }
        return Stream.of(
                name + " expected " + command.expects + " but was " + (satisfiable ? 1 : 0) + ".");
    }
}
