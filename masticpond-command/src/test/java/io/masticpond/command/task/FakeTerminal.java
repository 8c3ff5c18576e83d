package io.masticpond.command.task;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Optional;

/** Fake terminal that records the output and returns a preset reply to prompts. */
final class FakeTerminal implements Terminal {

    private final StringWriter mOutput = new StringWriter();
    private final StringWriter mErrors = new StringWriter();
    private final PrintWriter mOutputWriter = new PrintWriter(mOutput, true);
    private final PrintWriter mErrorsWriter = new PrintWriter(mErrors, true);
    private Optional<Integer> mColumns = Optional.empty();
    private Optional<String> mReply = Optional.empty();

    FakeTerminal columns(int columns) {
        mColumns = Optional.of(columns);
        return this;
    }

    FakeTerminal answer(String answer) {
        mReply = Optional.of(answer);
        return this;
    }

    String outputText() {
        return mOutput.toString();
    }

    String errorText() {
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
        return mReply;
    }
}
