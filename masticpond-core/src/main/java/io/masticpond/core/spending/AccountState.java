package io.masticpond.core.spending;

import io.masticpond.core.request.RefusalCause;

/**
 * Says whether an account can pay, and if not why not.
 *
 * @since 0.1
 */
public enum AccountState {
    /** It holds what is asked for, or will after an exchange with the platform. */
    OPEN("open", RefusalCause.NOT_READY, "The allotment of this instance is being renewed."),
    /** All of the cap is allotted. */
    EXHAUSTED("exhausted", RefusalCause.SPENDING_CAP, "The spending cap of the shift is reached."),
    /** The allotment is spent and the platform cannot be reached for another. */
    UNAVAILABLE(
            "platform-away",
            RefusalCause.PLATFORM_AWAY,
            "The allotment of this instance is spent and the platform cannot be reached."),
    /** The ledger is corrupted or went back, so nothing is taken from it. */
    FAULTY(
            "ledger-faulty",
            RefusalCause.PLATFORM_AWAY,
            "The allotment of this instance is spent and the spending ledger cannot be used.");

    private final String mText;
    private final RefusalCause mCause;
    private final String mDetail;

    AccountState(String text, RefusalCause cause, String detail) {
        mText = text;
        mCause = cause;
        mDetail = detail;
    }

    /**
     * Gives the form used in answers and the time line.
     *
     * @return the words joined by hyphens
     */
    public String text() {
        return mText;
    }

    RefusalCause cause() {
        return mCause;
    }

    String detail() {
        return mDetail;
    }
}
