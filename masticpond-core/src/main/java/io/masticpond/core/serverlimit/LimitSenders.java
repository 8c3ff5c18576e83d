package io.masticpond.core.serverlimit;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.limit.OwnerOrder;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Says which instances may send to a limited server, and how much each of them. */
final class LimitSenders {

    private final InstanceId mSelf;
    private final OwnerOrder mOrder;
    private List<OwnerCandidate> mInstances;
    private int mShareholders = 1;
    private long mSinceNanos;

    LimitSenders(OwnerCandidate self, Function<ZoneId, Optional<RegionId>> regions, long nowNanos) {
        mSelf = self.id();
        mOrder = new OwnerOrder(regions);
        mInstances = List.of(self);
        mSinceNanos = nowNanos;
    }

    void updateInstances(List<OwnerCandidate> alive, int shareholders, long nowNanos) {
        if (shareholders != mShareholders || (alive != mInstances && !alive.equals(mInstances))) {
            mShareholders = Math.max(1, shareholders);
            mInstances = List.copyOf(alive);
            mSinceNanos = nowNanos;
        }
    }

    /**
     * Finds this instance's place among the senders, if what that rests on has changed, and its
     * part of the limit. Instances that are not heard are left their part.
     */
    void place(LimitedServer state, ServerLimitSettings settings, long nowNanos) {
        if (!state.isLimited()) {
            return;
        }
        double reached = Math.min(1, (double) mInstances.size() / mShareholders);
        double limit = state.mStatement.perSecond();
        int senders = (int) Math.max(1, Math.round(settings.senders(limit) * reached));
        if (state.mInstances != mInstances || state.mSenders != senders) {
            boolean wasSender = state.isSender();
            List<InstanceId> first = mOrder.first(state.mServer, mInstances, senders);
            state.mInstances = mInstances;
            state.mSenders = senders;
            state.mRank = first.indexOf(mSelf);
            if (state.isSender() && !wasSender) {
                state.mSenderSinceNanos = mSinceNanos;
                state.begin(nowNanos);
            }
        }
        int sharing = Math.min(senders, mInstances.size());
        state.rate(settings.rate(limit) * reached / sharing, nowNanos);
    }
}
