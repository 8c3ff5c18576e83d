package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sender of updates to the neighbors and to requesters, which combines all updates of one call into
 * one message for each receiver.
 */
final class UpdateDisseminator {

    /** Update to disseminate and the instance that reported it, to which it is not sent back. */
    private record PendingUpdate(MemberUpdate update, InstanceId reporter) {}

    private final OwnHeartbeat mSelf;
    private final MembershipSink mSink;
    private final UpdateRequestRelay mRequestRelay;
    private final List<PendingUpdate> mPendingUpdates = new ArrayList<>();
    private final Map<InstanceId, List<MemberUpdate>> mMessages = new HashMap<>();

    UpdateDisseminator(OwnHeartbeat self, MembershipSink sink, UpdateRequestRelay requestRelay) {
        mSelf = self;
        mSink = sink;
        mRequestRelay = requestRelay;
    }

    /** Adds an update to be sent to all neighbors. */
    void disseminate(MemberUpdate update, InstanceId reporter) {
        mPendingUpdates.add(new PendingUpdate(update, reporter));
    }

    /** Adds an update to be sent to the instances that requested it, if any. */
    void answerRequesters(MemberUpdate update) {
        for (InstanceId requester : mRequestRelay.take(update.id())) {
            mMessages.computeIfAbsent(requester, key -> new ArrayList<>()).add(update);
        }
    }

    /** Sends the added updates. */
    void flush(Set<InstanceId> neighbors) {
        if (!mPendingUpdates.isEmpty()) {
            neighbors.forEach(this::collect);
            mPendingUpdates.clear();
        }
        if (!mMessages.isEmpty()) {
            mMessages.forEach((to, updates) -> mSink.send(to, mSelf.next(), List.copyOf(updates)));
            mMessages.clear();
        }
    }

    private void collect(InstanceId to) {
        for (PendingUpdate pending : mPendingUpdates) {
            if (!to.equals(pending.reporter()) && !to.equals(pending.update().id())) {
                mMessages.computeIfAbsent(to, key -> new ArrayList<>()).add(pending.update());
            }
        }
    }
}
