package io.masticpond.testing.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * List of instances with its last 1000 states, so that it can be read with a lag. Not thread-safe.
 */
final class InstanceList {

    private static final int MAXIMUM_SNAPSHOTS = 1_000;

    private final Map<String, PlatformInstance> mInstances = new TreeMap<>();
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    void put(PlatformInstance instance, long nowNanos) {
        mInstances.put(instance.id(), instance);
        recordSnapshot(nowNanos);
    }

    boolean remove(String id, long nowNanos) {
        boolean removed = mInstances.remove(id) != null;
        recordSnapshot(nowNanos);
        return removed;
    }

    List<PlatformInstance> asOf(long nowNanos, long lagMillis) {
        long asOfNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(lagMillis);
        for (Snapshot snapshot : mSnapshots) {
            if (snapshot.sinceNanos() - asOfNanos <= 0) {
                return snapshot.instances();
            }
        }
        return List.of();
    }

    private void recordSnapshot(long nowNanos) {
        mSnapshots.addFirst(new Snapshot(nowNanos, mInstances.values()));
        if (mSnapshots.size() > MAXIMUM_SNAPSHOTS) {
            mSnapshots.removeLast();
        }
    }

    /** State of the list from a point in time on. */
    private record Snapshot(long sinceNanos, List<PlatformInstance> instances) {

        Snapshot(long sinceNanos, Collection<PlatformInstance> instances) {
            this(sinceNanos, List.copyOf(instances));
        }
    }
}
