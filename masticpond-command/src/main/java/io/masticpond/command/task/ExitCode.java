package io.masticpond.command.task;

/**
 * Exit codes of the program.
 *
 * @since 0.1
 */
public enum ExitCode {
    /** The command completed. */
    DONE(0, "done"),
    /** A response could not be read, or the program failed. */
    FAILED(1, "failed, such as an answer that can't be read"),
    /** The command line is invalid. */
    BAD_USAGE(2, "bad usage"),
    /** Another change was made in the meantime; nothing was done. */
    CONFLICT(3, "conflict: something else has changed meanwhile"),
    /** No instance responded. */
    UNREACHABLE(4, "no instance answered"),
    /** The instance refused the request. */
    REFUSED(5, "refused: token, document, plan or state"),
    /** The operator did not confirm, or there was no terminal to prompt on. */
    DECLINED(6, "not confirmed, or no terminal to ask on"),
    /** The result is partial; the missing instances are named. */
    PARTIAL(7, "done in part: some instances did not answer");

    private final int mCode;
    private final String mDescription;

    ExitCode(int code, String description) {
        mCode = code;
        mDescription = description;
    }

    /**
     * Returns the exit status for the operating system.
     *
     * @return the exit status, from 0 to 7
     */
    public int code() {
        return mCode;
    }

    /**
     * Returns the description for the help.
     *
     * @return the description, a few words
     */
    public String description() {
        return mDescription;
    }
}
