package io.masticpond.core.timeline;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * {@link Timeline} implementation that keeps the newest events of this process, up to the same
 * number for each part of the system.
 *
 * <p>Each part has its own ring, so that a high rate of events in one part, such as refused
 * requests, does not displace the rare events of another part, such as a configuration change. When
 * a ring is full, the oldest event of its part is overwritten and counted.
 *
 * <p>Thread-safe. Recording takes no lock and never blocks.
 *
 * @since 0.1
 */
public final class TimelineRing implements Timeline {

    /** The default number of events that are kept for each part. */
    public static final int DEFAULT_CAPACITY_PER_PART = 512;

    private final InstanceId mInstance;
    private final HybridLogicalClock mClock;
    private final Map<TimelinePart, EventRing> mRings = new EnumMap<>(TimelinePart.class);

    /**
     * Creates an empty timeline.
     *
     * @param instance the instance in which the events occur
     * @param clock the clock of the events
     * @param capacityPerPart the number of events that are kept for each part, positive
     */
    public TimelineRing(InstanceId instance, HybridLogicalClock clock, int capacityPerPart) {
        mInstance = Assert.notNull(instance, "An instance id");
        mClock = Assert.notNull(clock, "A clock");
        Assert.positive(capacityPerPart, "The capacity of a ring");
        for (TimelinePart part : TimelinePart.values()) {
            mRings.put(part, new EventRing(capacityPerPart));
        }
    }

    @Override
    public void record(
            TimelinePart part, String event, String service, String object, String detail) {
        EventRing ring = mRings.get(Assert.notNull(part, "A part"));
        ring.add(new TimelineEvent(mClock.now(), mInstance, part, event, service, object, detail));
    }

    /**
     * Returns the events that match a query.
     *
     * @param query the query
     * @return the events in the order of their times; if more than the limit match, the newest ones
     */
    public List<TimelineEvent> find(TimelineQuery query) {
        List<TimelineEvent> found = new ArrayList<>();
        for (EventRing ring : mRings.values()) {
            ring.collect(query, found);
        }
        found.sort(Comparator.comparing(TimelineEvent::time));
        int excess = Math.max(0, found.size() - query.limit());
        return List.copyOf(found.subList(excess, found.size()));
    }

    /**
     * Returns the number of events that newer ones have overwritten.
     *
     * @return the number since the start, over all parts
     */
    public long overwritten() {
        long sum = 0;
        for (EventRing ring : mRings.values()) {
            sum += ring.overwritten();
        }
        return sum;
    }
}
