package io.masticpond.command;

import io.masticpond.command.task.Terminal;
import java.io.Console;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fusesource.jansi.AnsiConsole;
import org.fusesource.jansi.internal.CLibrary;

/** Terminal that the process was started on. */
final class SystemTerminal implements Terminal {

    private static final String COLUMNS_VARIABLE = "COLUMNS";
    private static final int DEFAULT_COLUMNS = 100;
    private static final int STANDARD_OUTPUT = 1;

    private final PrintWriter mOutput = writer(FileDescriptor.out);
    private final PrintWriter mErrors = writer(FileDescriptor.err);

    @Override
    public PrintWriter output() {
        return mOutput;
    }

    @Override
    public PrintWriter errors() {
        return mErrors;
    }

    @Override
    public Optional<Integer> columns() {
        if (!isTerminal()) {
            return Optional.empty();
        }
        return Optional.of(configuredColumns().orElseGet(SystemTerminal::detectedColumns));
    }

    @Override
    public Optional<String> prompt(String question) {
        Console console = System.console();
        if (console == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(console.readLine("%s", question));
    }

    private static Optional<Integer> configuredColumns() {
        String text = System.getenv(COLUMNS_VARIABLE);
        boolean usable = text != null && text.matches("[1-9]\\d{0,5}");
        return usable ? Optional.of(Integer.valueOf(text)) : Optional.empty();
    }

    private static int detectedColumns() {
        try {
            int columns = AnsiConsole.getTerminalWidth();
            return columns > 0 ? columns : DEFAULT_COLUMNS;
        } catch (LinkageError e) {
            return DEFAULT_COLUMNS;
        }
    }

    private static boolean isTerminal() {
        try {
            return CLibrary.isatty(STANDARD_OUTPUT) == 1;
        } catch (LinkageError e) {
            return System.console() != null;
        }
    }

    private static PrintWriter writer(FileDescriptor descriptor) {
        return new PrintWriter(
                new OutputStreamWriter(new FileOutputStream(descriptor), StandardCharsets.UTF_8),
                true);
    }
}
