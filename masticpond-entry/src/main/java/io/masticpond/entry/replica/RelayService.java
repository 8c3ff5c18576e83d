package io.masticpond.entry.replica;

import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.relay.CategoryAsk;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Answers peers from the copies of this instance, and holds the asks of those that rely on its
 * watching while it has nothing new. For the control thread.
 */
final class RelayService implements RelaySource {

    private static final long NOTHING = -1;

    private final TimeSource mTime;
    private final Map<Category, CategoryCopy> mCopies;
    private final ServerDocuments mServers;
    private final Scheduler mScheduler;
    private final BooleanSupplier mWatches;
    private final Duration mLongestWait;
    private final Set<HeldRequest> mHeld = new LinkedHashSet<>();
    private final RelayCodec mCodec = new RelayCodec();

    /**
     * Makes a service.
     *
     * @param context the clocks and times
     * @param copies the copies by category
     * @param servers tells whether entries are in doubt
     * @param watches tells whether this instance watches the store itself, and reaches it
     */
    RelayService(
            ReplicaContext context,
            Map<Category, CategoryCopy> copies,
            ServerDocuments servers,
            BooleanSupplier watches) {
        mTime = context.time();
        mScheduler = context.scheduler();
        mLongestWait = context.settings().watching().hold();
        mWatches = watches;
        mCopies = copies;
        mServers = servers;
    }

    @Override
    public RelayAnswer answer(RelayAsk ask) {
        RelayAnswer.Builder answer = RelayAnswer.newBuilder().setWatches(watches());
        long nowNanos = mTime.monotonicNanos();
        for (CategoryAsk part : ask.getCategoriesList()) {
            Optional<CategoryCopy> copy = copy(part.getCategory());
            if (copy.isEmpty()) {
                continue;
            }
            answer.addCategories(mCodec.write(copy.get().since(after(part), nowNanos), nowNanos));
        }
        return answer.build();
    }

    @Override
    public Runnable hold(RelayAsk ask, Consumer<RelayAnswer> result) {
        if (ask.getWaitMs() <= 0 || mustAnswer(ask)) {
            result.accept(answer(ask));
            return () -> {};
        }
        Duration asked = Duration.ofMillis(ask.getWaitMs());
        Duration wait = asked.compareTo(mLongestWait) < 0 ? asked : mLongestWait;
        HeldRequest held = new HeldRequest(ask, result);
        mHeld.add(held);
        held.mTimer = mScheduler.schedule(wait, () -> end(held));
        return () -> forget(held);
    }

    /** Answers the held asks for which there is something new, or on which nobody may rely. */
    void changed() {
        for (HeldRequest held : List.copyOf(mHeld)) {
            if (mustAnswer(held.mAsk)) {
                end(held);
            }
        }
    }

    private boolean mustAnswer(RelayAsk ask) {
        return !watches()
                || ask.getCategoriesList().stream()
                        .anyMatch(
                                part ->
                                        copy(part.getCategory())
                                                .filter(copy -> copy.hasUpdates(after(part)))
                                                .isPresent());
    }

    private boolean watches() {
        return mServers.unconfirmed() == 0 && mWatches.getAsBoolean();
    }

    private void end(HeldRequest held) {
        if (forget(held)) {
            held.mResult.accept(answer(held.mAsk));
        }
    }

    private boolean forget(HeldRequest held) {
        held.mTimer.run();
        return mHeld.remove(held);
    }

    private static long after(CategoryAsk part) {
        return part.hasAfterRevision() ? part.getAfterRevision() : NOTHING;
    }

    private Optional<CategoryCopy> copy(String name) {
        return mCodec.category(name)
                .map(mCopies::get)
                .filter(CategoryCopy::isListed)
                .filter(copy -> !isUncertain(copy));
    }

    /** An entry that may come back must not be told of as gone. */
    private boolean isUncertain(CategoryCopy copy) {
        return copy.category() == Category.BACKEND_SERVERS && mServers.unconfirmed() > 0;
    }

    /** An ask that waits for news. */
    private static final class HeldRequest {

        private final RelayAsk mAsk;
        private final Consumer<RelayAnswer> mResult;
        private Runnable mTimer = () -> {};

        HeldRequest(RelayAsk ask, Consumer<RelayAnswer> result) {
            mAsk = ask;
            mResult = result;
        }
    }
}
