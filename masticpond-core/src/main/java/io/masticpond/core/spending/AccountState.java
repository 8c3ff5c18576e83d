package io.masticpond.core.spending;

import io.masticpond.core.request.RefusalCause;

/**
 * State of an account: whether it can charge attempts, and if not, the reason.
 *
 * @since 0.1
 */
public enum AccountState {
    /** It holds the requested amount, or will after an exchange with the platform. */
    OPEN("open", RefusalCause.NOT_READY, "The allotment of this instance is being renewed."),
    /** All of the cap is allotted. */
    EXHAUSTED("exhausted", RefusalCause.SPENDING_CAP, "The spending cap of the shift is reached."),
    /** The allotment is spent and the platform cannot be reached for another. */
    AWAY(
            "platform-away",
            RefusalCause.PLATFORM_AWAY,
            "The allotment of this instance is spent and the platform cannot be reached."),
    /** The ledger is corrupted or reverted to an earlier state, so nothing is allotted from it. */
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
     * Returns the text used in answers and the timeline.
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
