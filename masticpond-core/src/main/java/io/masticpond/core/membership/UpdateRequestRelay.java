package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Remembers who waits for news of whom, for a bounded time. */
final class UpdateRequestRelay {

    private final long mTimeoutNanos;
    private final Map<InstanceId, Set<InstanceId>> mRequesters = new HashMap<>();
    private final Map<InstanceId, Long> mSinceNanos = new HashMap<>();

    UpdateRequestRelay(long patienceNanos) {
        mTimeoutNanos = patienceNanos;
    }

    /** Notes an asker; returns whether it is the first for this subject. */
    boolean add(InstanceId subject, InstanceId asker, long now) {
        mRequesters.computeIfAbsent(subject, key -> new HashSet<>()).add(asker);
        return mSinceNanos.putIfAbsent(subject, now) == null;
    }

    /** Gives those who wait for news of an instance, and forgets them. */
    Set<InstanceId> take(InstanceId subject) {
        mSinceNanos.remove(subject);
        Set<InstanceId> askers = mRequesters.remove(subject);
        return askers == null ? Set.of() : askers;
    }

    /** Forgets those who waited for too long. */
    void expire(long now) {
        mSinceNanos.values().removeIf(since -> now - since > mTimeoutNanos);
        mRequesters.keySet().retainAll(mSinceNanos.keySet());
    }
}
