package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracker of which instances are waiting for an update of which member, for a bounded time. */
final class UpdateRequestRelay {

    private final long mTimeoutNanos;
    private final Map<InstanceId, Set<InstanceId>> mRequesters = new HashMap<>();
    private final Map<InstanceId, Long> mSinceNanos = new HashMap<>();

    UpdateRequestRelay(long timeoutNanos) {
        mTimeoutNanos = timeoutNanos;
    }

    /** Adds a requester and returns whether it is the first for this member. */
    boolean add(InstanceId subject, InstanceId requester, long now) {
        mRequesters.computeIfAbsent(subject, key -> new HashSet<>()).add(requester);
        return mSinceNanos.putIfAbsent(subject, now) == null;
    }

    /** Removes and returns the requesters that are waiting for an update of a member. */
    Set<InstanceId> take(InstanceId subject) {
        mSinceNanos.remove(subject);
        Set<InstanceId> requesters = mRequesters.remove(subject);
        return requesters == null ? Set.of() : requesters;
    }

    /** Removes the requests that have been pending for longer than the timeout. */
    void expire(long now) {
        mSinceNanos.values().removeIf(since -> now - since > mTimeoutNanos);
        mRequesters.keySet().retainAll(mSinceNanos.keySet());
    }
}
