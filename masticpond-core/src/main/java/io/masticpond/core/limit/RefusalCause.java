package io.masticpond.core.limit;

/**
 * Causes for which a request is refused on arrival because of load.
 *
 * @since 0.3
 */
public enum RefusalCause {
    /** The request would wait too long for a slot. */
    OVERLOAD("overload"),
    /** The service is full, and the group of the caller has used up its share. */
    SHARE("share"),
    /** The service is nearly full, and the group of the caller sends more than its usual demand. */
    EXCESS("excess");

    private final String mText;

    RefusalCause(String text) {
        mText = text;
    }

    /**
     * Returns the name of the cause in answers, logs and metrics.
     *
     * @return the name
     */
    public String text() {
        return mText;
    }
}
