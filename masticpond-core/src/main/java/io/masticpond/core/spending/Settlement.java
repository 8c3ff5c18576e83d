package io.masticpond.core.spending;

/**
 * Settlement of a change of a ledger.
 *
 * @param deltaMicros the amount that the change allotted, or returned if negative
 * @param outcome the known outcome of the change
 */
record Settlement(long deltaMicros, Outcome outcome) {

    /** Known outcome of a change. */
    enum Outcome {
        /** It took effect. */
        TOOK_EFFECT,
        /** It had no effect and never will. */
        NO_EFFECT,
        /** Too many changes followed to determine whether it took effect. */
        UNKNOWN
    }

    /**
     * Returns the amount that may be added to the holder's allotment.
     *
     * @return the amount that was allotted, or that was to be returned and was not
     */
    long spendableMicros() {
        boolean allotted = deltaMicros > 0 && outcome == Outcome.TOOK_EFFECT;
        boolean isRetained = deltaMicros < 0 && outcome == Outcome.NO_EFFECT;
        return allotted || isRetained ? Math.abs(deltaMicros) : 0;
    }
}
