package io.masticpond.entry.replica;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Delays between changes and the next watch, which limit the calls made during a burst.
 *
 * <p>The wait doubles while changes arrive without a pause, up to a limit, but stays at the minimum
 * while further updates are urgent.
 */
final class SettleTimes {

    private final Duration mMin;
    private final Duration mMax;
    private final BooleanSupplier mUrgent;
    private Duration mNext;

    /**
     * Creates the times.
     *
     * @param min the wait after a single change
     * @param max the limit while changes continue
     * @param urgent returns whether further updates are expected soon
     */
    SettleTimes(Duration min, Duration max, BooleanSupplier urgent) {
        mMin = min;
        mMax = max;
        mUrgent = urgent;
        mNext = min;
    }

    /**
     * Creates the times for a category.
     *
     * @param category the category
     * @param settings the settings
     * @param urgent returns whether further updates of backend servers are expected soon
     * @return the times
     */
    static SettleTimes of(
            Category category, ReplicaSettings.Calls settings, BooleanSupplier urgent) {
        return category == Category.BACKEND_SERVERS
                ? new SettleTimes(settings.serverSettle(), settings.serverSettleLimit(), urgent)
                : new SettleTimes(settings.settle(), settings.settle(), () -> false);
    }

    /**
     * Returns the wait after a watch.
     *
     * @param changes the number of changes that it returned
     * @param held how long it was held
     * @return the wait before the next watch
     */
    Duration after(int changes, Duration held) {
        if (changes == 0) {
            mNext = mMin;
            return Duration.ZERO;
        }
        if (mUrgent.getAsBoolean()) {
            return mMin;
        }
        if (held.compareTo(mMax) > 0) {
            mNext = mMin;
        }
        Duration wait = mNext;
        Duration doubled = mNext.multipliedBy(2);
        mNext = doubled.compareTo(mMax) > 0 ? mMax : doubled;
        return wait;
    }
}
