package io.masticpond.core.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** The median of a figure over all servers but one, for each of them, from one sorted array. */
final class PeerMedians {

    private static final double FEWEST_CALLS = 1;

    private final ToDoubleFunction<CallStatistics> mCalls;
    private final ToDoubleFunction<CallStatistics> mValue;
    private final double[] mSorted;

    /**
     * Sorts the figures of the servers with enough calls.
     *
     * @param all the servers
     * @param calls gives how many calls a figure rests on
     * @param value gives the figure
     */
    PeerMedians(
            Collection<CallStatistics> all,
            ToDoubleFunction<CallStatistics> calls,
            ToDoubleFunction<CallStatistics> value) {
        mCalls = calls;
        mValue = value;
        double[] values = new double[all.size()];
        int count = 0;
        for (CallStatistics each : all) {
            if (isCounted(each)) {
                values[count++] = value.applyAsDouble(each);
            }
        }
        mSorted = Arrays.copyOf(values, count);
        Arrays.sort(mSorted);
    }

    /** Gives the lower median of all but one, or not a number without any. */
    double without(CallStatistics tally) {
        boolean isCounted = isCounted(tally);
        int others = mSorted.length - (isCounted ? 1 : 0);
        if (others == 0) {
            return Double.NaN;
        }
        int middle = (others - 1) / 2;
        boolean isBelow =
                isCounted && Arrays.binarySearch(mSorted, mValue.applyAsDouble(tally)) <= middle;
        return mSorted[isBelow ? middle + 1 : middle];
    }

    private boolean isCounted(CallStatistics tally) {
        return mCalls.applyAsDouble(tally) >= FEWEST_CALLS;
    }
}
