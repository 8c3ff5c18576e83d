package io.masticpond.core.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.function.ToDoubleFunction;

/** Medians of a value over all servers except one, for each of them, from a single sorted array. */
final class PeerMedians {

    private static final double MIN_CALLS = 1;

    private final ToDoubleFunction<CallStatistics> mCalls;
    private final ToDoubleFunction<CallStatistics> mValue;
    private final double[] mSorted;

    /**
     * Creates the medians over the servers with enough calls.
     *
     * @param all the servers
     * @param calls returns the number of calls behind a value
     * @param value returns the value
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

    /** Returns the lower median over all servers except one, or NaN if there are none. */
    double without(CallStatistics statistics) {
        boolean isCounted = isCounted(statistics);
        int others = mSorted.length - (isCounted ? 1 : 0);
        if (others == 0) {
            return Double.NaN;
        }
        int middle = (others - 1) / 2;
        boolean isBelow =
                isCounted
                        && Arrays.binarySearch(mSorted, mValue.applyAsDouble(statistics)) <= middle;
        return mSorted[isBelow ? middle + 1 : middle];
    }

    private boolean isCounted(CallStatistics statistics) {
        return mCalls.applyAsDouble(statistics) >= MIN_CALLS;
    }
}
