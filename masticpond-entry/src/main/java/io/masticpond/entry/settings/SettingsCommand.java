package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/**
 * Command that the command line requests in place of an instance: a check of a settings file, or
 * help. An instance that starts does not load it.
 *
 * @since 0.2
 */
public final class SettingsCommand {

    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 2;
    private static final String CHECK = "--check-settings";
    private static final String HELP = "--help";

    private final String mUsage;
    private final PrintStream mOutput;
    private final PrintStream mErrors;

    /**
     * Creates a command.
     *
     * @param usage the usage text of the program
     * @param output the stream for answers
     * @param errors the stream for errors
     */
    public SettingsCommand(String usage, PrintStream output, PrintStream errors) {
        mUsage = Assert.hasText(usage, "A text of usage");
        mOutput = Assert.notNull(output, "An output");
        mErrors = Assert.notNull(errors, "An output for errors");
    }

    /**
     * Runs the command: {@code --check-settings FILE} or {@code --help}.
     *
     * @param arguments the arguments of the command line
     * @return the exit code: 0, or 2 if the settings or the arguments are invalid
     */
    public int run(List<String> arguments) {
        if (arguments.equals(List.of(HELP))) {
            mOutput.println(mUsage);
            return EXIT_SUCCESS;
        }
        if (arguments.size() == 2 && arguments.get(0).equals(CHECK)) {
            return check(Path.of(arguments.get(1)));
        }
        mErrors.println("These arguments are not known: " + String.join(" ", arguments) + ".");
        mErrors.println(mUsage);
        return EXIT_FAILURE;
    }

    private int check(Path file) {
        Either<List<String>, EntrySettings> settings = new EntrySettingsReader().check(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(mErrors::println);
            return EXIT_FAILURE;
        }
        mOutput.println("The settings of " + settings.get().instance().value() + " are good.");
        return EXIT_SUCCESS;
    }
}
