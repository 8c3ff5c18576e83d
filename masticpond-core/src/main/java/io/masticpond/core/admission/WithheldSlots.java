package io.masticpond.core.admission;

/**
 * Slots of one backend server that are withheld because requests of an earlier admitter may still
 * hold them.
 *
 * <p>They are released as reports show that the requests of other admitters have ended, at the
 * latest when all of these must have ended. Reports that may be older than the change of admitters
 * are ignored, and a shed answer withholds one more slot.
 */
final class WithheldSlots {

    private final long mReportLagNanos;
    private final long mPeriodNanos;
    private int mAtStart;
    private int mWithheld;
    private long mStartNanos;

    /**
     * Creates an object without withheld slots.
     *
     * @param settings the settings, of which the report lag and the widening period are used
     */
    WithheldSlots(AdmissionSettings settings) {
        mReportLagNanos = settings.reportLag().toNanos();
        mPeriodNanos = settings.wideningPeriod().toNanos();
    }

    /**
     * Withholds slots from now on.
     *
     * @param slots the slots
     * @param nanos the current monotonic time, in nanoseconds
     */
    void start(int slots, long nanos) {
        mAtStart = slots;
        mWithheld = slots;
        mStartNanos = nanos;
    }

    /** Releases all slots. */
    void clear() {
        mWithheld = 0;
        mAtStart = 0;
    }

    /**
     * Releases all slots if the widening period has passed.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void advance(long nanos) {
        if (mAtStart > 0 && nanos - mStartNanos >= mPeriodNanos) {
            clear();
        }
    }

    /**
     * Handles a report of the server.
     *
     * @param reportedInFlight the number of requests that the server reports as in flight
     * @param own the number of requests of this admitter that must be among them
     * @param nanos the current monotonic time, in nanoseconds
     */
    void report(int reportedInFlight, int own, long nanos) {
        if (nanos - mStartNanos < mReportLagNanos) {
            return;
        }
        mWithheld = Math.min(mWithheld, Math.max(0, reportedInFlight - own));
    }

    /** Withholds one more slot, since the server shed a request. */
    void shed() {
        mWithheld = Math.min(mAtStart, mWithheld + 1);
    }

    /**
     * Returns the number of withheld slots.
     *
     * @return the slots
     */
    int count() {
        return mWithheld;
    }
}
