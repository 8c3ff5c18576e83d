package io.masticpond.command.task;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Optional;

/** Keeps what is written, and answers as a person told to. */
final class FakeTerminal implements Terminal {

    private final StringWriter mOutput = new StringWriter();
    private final StringWriter mErrors = new StringWriter();
    private final PrintWriter mOutputWriter = new PrintWriter(mOutput, true);
    private final PrintWriter mErrorsWriter = new PrintWriter(mErrors, true);
    private Optional<Integer> mColumns = Optional.empty();
    private Optional<String> mAnswer = Optional.empty();

    FakeTerminal columns(int columns) {
        mColumns = Optional.of(columns);
        return this;
    }

    FakeTerminal answer(String answer) {
        mAnswer = Optional.of(answer);
        return this;
    }

    String written() {
        return mOutput.toString();
    }

    String complained() {
        return mErrors.toString();
    }

    @Override
    public PrintWriter output() {
        return mOutputWriter;
    }

    @Override
    public PrintWriter errors() {
        return mErrorsWriter;
    }

    @Override
    public Optional<Integer> columns() {
        return mColumns;
    }

    @Override
    public Optional<String> prompt(String question) {
        return mAnswer;
    }
}
