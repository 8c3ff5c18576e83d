package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Passes news on to the neighbors, in one message each for all news of one call. */
final class UpdateDisseminator {

    /** News and who told it; that instance need not hear it again. */
    private record PendingUpdate(MemberUpdate update, InstanceId reporter) {}

    private final OwnHeartbeat mSelf;
    private final MembershipSink mSink;
    private final UpdateRequestRelay mRequestRelay;
    private final List<PendingUpdate> mWaiting = new ArrayList<>();
    private final Map<InstanceId, List<MemberUpdate>> mAnswers = new HashMap<>();

    UpdateDisseminator(OwnHeartbeat self, MembershipSink sink, UpdateRequestRelay askRelay) {
        mSelf = self;
        mSink = sink;
        mRequestRelay = askRelay;
    }

    /** Takes news for all neighbors. */
    void disseminate(MemberUpdate news, InstanceId teller) {
        mWaiting.add(new PendingUpdate(news, teller));
    }

    /** Takes news for those who asked for it, if anybody did. */
    void answerRequesters(MemberUpdate news) {
        for (InstanceId asker : mRequestRelay.take(news.id())) {
            mAnswers.computeIfAbsent(asker, key -> new ArrayList<>()).add(news);
        }
    }

    /** Sends what was taken. */
    void flush(Set<InstanceId> neighbors) {
        if (!mWaiting.isEmpty()) {
            neighbors.forEach(this::collect);
            mWaiting.clear();
        }
        if (!mAnswers.isEmpty()) {
            mAnswers.forEach((to, news) -> mSink.send(to, mSelf.next(), List.copyOf(news)));
            mAnswers.clear();
        }
    }

    private void collect(InstanceId to) {
        for (PendingUpdate told : mWaiting) {
            if (!to.equals(told.reporter()) && !to.equals(told.update().id())) {
                mAnswers.computeIfAbsent(to, key -> new ArrayList<>()).add(told.update());
            }
        }
    }
}
