package io.masticpond.core.serverlimit;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.limit.OwnerOrder;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Selection of the instances that may send to a limited server, and of the share of each. */
final class LimitSenders {

    private final InstanceId mSelf;
    private final OwnerOrder mOrder;
    private List<OwnerCandidate> mInstances;
    private int mShareholders = 1;
    private long mChangedNanos;

    LimitSenders(OwnerCandidate self, Function<ZoneId, Optional<RegionId>> regions, long nowNanos) {
        mSelf = self.id();
        mOrder = new OwnerOrder(regions);
        mInstances = List.of(self);
        mChangedNanos = nowNanos;
    }

    void updateInstances(List<OwnerCandidate> aliveInstances, int shareholders, long nowNanos) {
        if (shareholders != mShareholders
                || (aliveInstances != mInstances && !aliveInstances.equals(mInstances))) {
            mShareholders = Math.max(1, shareholders);
            mInstances = List.copyOf(aliveInstances);
            mChangedNanos = nowNanos;
        }
    }

    /**
     * Updates the rank of this instance among the senders, if the instances or the number of
     * senders have changed, and its share of the limit. Unreachable instances keep their share.
     */
    void updateRank(LimitedServer state, ServerLimitSettings settings, long nowNanos) {
        if (!state.isLimited()) {
            return;
        }
        double reachableShare = Math.min(1, (double) mInstances.size() / mShareholders);
        double limit = state.mStatement.perSecond();
        int senders = (int) Math.max(1, Math.round(settings.senders(limit) * reachableShare));
        if (state.mInstances != mInstances || state.mSenders != senders) {
            boolean wasSender = state.isSender();
            List<InstanceId> senderIds = mOrder.first(state.mServer, mInstances, senders);
            state.mInstances = mInstances;
            state.mSenders = senders;
            state.mRank = senderIds.indexOf(mSelf);
            if (state.isSender() && !wasSender) {
                state.mSenderSinceNanos = mChangedNanos;
                state.startPermits(nowNanos);
            }
        }
        int senderCount = Math.min(senders, mInstances.size());
        state.changeRate(settings.rate(limit) * reachableShare / senderCount, nowNanos);
    }
}
