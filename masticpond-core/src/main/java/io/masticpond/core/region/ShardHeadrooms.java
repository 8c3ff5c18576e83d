package io.masticpond.core.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.Shard;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Registry of the latest headroom of each shard while it is fresh, less the requests sent since.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.1
 */
public final class ShardHeadrooms {

    private final TimeSource mTimeSource;
    private final long mFreshNanos;
    private final Map<Shard, Entry> mEntries = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param timeSource the source of time
     * @param freshFor the time for which reported headroom is used
     */
    public ShardHeadrooms(TimeSource timeSource, Duration freshFor) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mFreshNanos = Assert.positive(freshFor.toNanos(), "A time in nanoseconds");
    }

    /**
     * Records the headroom that an admitter reported.
     *
     * @param shard the shard
     * @param headroom the reported headroom
     */
    public void observe(Shard shard, Headroom headroom) {
        mEntries.put(shard, new Entry(headroom, mTimeSource.monotonicNanos()));
    }

    /**
     * Records a request that was sent to a shard and is not yet part of its reported headroom.
     *
     * @param shard the shard
     */
    public void recordSent(Shard shard) {
        Entry entry = mEntries.get(shard);
        if (entry != null) {
            entry.mSentSince++;
        }
    }

    /**
     * Returns the headroom of the shards whose reports are fresh.
     *
     * @param shards the requested shards
     * @return the headroom, with requests sent since the report counted as in flight; shards
     *     without a fresh report are missing
     */
    public Map<Shard, Headroom> fresh(Collection<Shard> shards) {
        long now = mTimeSource.monotonicNanos();
        Map<Shard, Headroom> fresh = new HashMap<>();
        for (Shard shard : shards) {
            Entry entry = mEntries.get(shard);
            if (entry != null && now - entry.mObservedNanos <= mFreshNanos) {
                fresh.put(shard, entry.current());
            }
        }
        return fresh;
    }

    private static final class Entry {

        private final Headroom mHeadroom;
        private final long mObservedNanos;
        private int mSentSince;

        Entry(Headroom headroom, long observedNanos) {
            mHeadroom = headroom;
            mObservedNanos = observedNanos;
        }

        Headroom current() {
            return new Headroom(
                    mHeadroom.usableSlots(),
                    mHeadroom.inFlight() + mSentSince,
                    mHeadroom.waiting(),
                    mHeadroom.expectedWaitNanos(),
                    mHeadroom.step());
        }
    }
}
