package io.masticpond.core.admission;

/**
 * Limit on the usable slots of a backend server that is cold or sheds, which increases with good
 * answers.
 */
final class RampIn {

    /** Value of an absent limit. */
    static final int UNLIMITED = Integer.MAX_VALUE;

    private final RampInSettings mSettings;
    private int mLimit = UNLIMITED;
    private int mGoodAnswers;
    private long mStepNanos;

    /**
     * Creates a ramp-in without a limit.
     *
     * @param settings the settings for the increase
     */
    RampIn(RampInSettings settings) {
        mSettings = settings;
    }

    /**
     * Restarts from the initial limit.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void start(long nanos) {
        limitTo(mSettings.initialSlots(), nanos);
    }

    /**
     * Lowers the limit because the server shed a request.
     *
     * @param inFlight the number of requests that the server accepted
     * @param nanos the current monotonic time, in nanoseconds
     */
    void shed(int inFlight, long nanos) {
        limitTo(Math.max(1, inFlight), nanos);
    }

    /**
     * Counts a good answer, which may increase the limit by one step.
     *
     * @param slots the slots of the server, from which on no limit is needed
     * @param nanos the current monotonic time, in nanoseconds
     */
    void answered(int slots, long nanos) {
        if (mLimit == UNLIMITED) {
            return;
        }
        mGoodAnswers++;
        boolean enoughAnswers = mGoodAnswers >= (long) mLimit * mSettings.answersPerSlot();
        if (!enoughAnswers || nanos - mStepNanos < mSettings.step().toNanos()) {
            return;
        }
        limitTo((int) Math.max(mLimit + 1L, (long) (mLimit * mSettings.growth())), nanos);
        if (mLimit >= slots) {
            mLimit = UNLIMITED;
        }
    }

    /**
     * Returns the limit on the usable slots.
     *
     * @return the limit, or {@link #UNLIMITED}
     */
    int limit() {
        return mLimit;
    }

    private void limitTo(int limit, long nanos) {
        mLimit = limit;
        mGoodAnswers = 0;
        mStepNanos = nanos;
    }
}
