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
 * Default implementation of {@link RelaySource} that answers peers from the local copies, and holds
 * the requests of those that follow this instance while it has no change for them. Confined to the
 * control thread.
 */
final class RelayService implements RelaySource {

    private static final long NO_REVISION = -1;

    private final TimeSource mTime;
    private final Map<Category, CategoryCopy> mCopies;
    private final ServerDocuments mServers;
    private final Scheduler mScheduler;
    private final BooleanSupplier mWatching;
    private final Duration mMaxWait;
    private final Set<HeldRequest> mHeld = new LinkedHashSet<>();
    private final RelayCodec mCodec = new RelayCodec();

    /**
     * Creates a service.
     *
     * @param context the clocks and times
     * @param copies the copies by category
     * @param servers the servers, whose entries may be uncertain
     * @param isWatching returns whether this instance watches the store itself and can reach it
     */
    RelayService(
            ReplicaContext context,
            Map<Category, CategoryCopy> copies,
            ServerDocuments servers,
            BooleanSupplier isWatching) {
        mTime = context.time();
        mScheduler = context.scheduler();
        mMaxWait = context.settings().watching().hold();
        mWatching = isWatching;
        mCopies = copies;
        mServers = servers;
    }

    @Override
    public RelayAnswer answer(RelayAsk request) {
        RelayAnswer.Builder answer = RelayAnswer.newBuilder().setWatches(isWatching());
        long nowNanos = mTime.monotonicNanos();
        for (CategoryAsk part : request.getCategoriesList()) {
            Optional<CategoryCopy> copy = copy(part.getCategory());
            if (copy.isEmpty()) {
                continue;
            }
            answer.addCategories(mCodec.write(copy.get().since(after(part), nowNanos), nowNanos));
        }
        return answer.build();
    }

    @Override
    public Runnable hold(RelayAsk request, Consumer<RelayAnswer> result) {
        if (request.getWaitMs() <= 0 || mustAnswer(request)) {
            result.accept(answer(request));
            return () -> {};
        }
        Duration requested = Duration.ofMillis(request.getWaitMs());
        Duration wait = requested.compareTo(mMaxWait) < 0 ? requested : mMaxWait;
        HeldRequest held = new HeldRequest(request, result);
        mHeld.add(held);
        held.mTimer = mScheduler.schedule(wait, () -> end(held));
        return () -> cancel(held);
    }

    /**
     * Answers the held requests for which there is a change, or all if this instance must not be
     * followed.
     */
    void changed() {
        for (HeldRequest held : List.copyOf(mHeld)) {
            if (mustAnswer(held.mRequest)) {
                end(held);
            }
        }
    }

    private boolean mustAnswer(RelayAsk request) {
        return !isWatching()
                || request.getCategoriesList().stream()
                        .anyMatch(
                                part ->
                                        copy(part.getCategory())
                                                .filter(copy -> copy.hasUpdates(after(part)))
                                                .isPresent());
    }

    private boolean isWatching() {
        return mServers.unconfirmed() == 0 && mWatching.getAsBoolean();
    }

    private void end(HeldRequest held) {
        if (cancel(held)) {
            held.mResult.accept(answer(held.mRequest));
        }
    }

    private boolean cancel(HeldRequest held) {
        held.mTimer.run();
        return mHeld.remove(held);
    }

    private static long after(CategoryAsk part) {
        return part.hasAfterRevision() ? part.getAfterRevision() : NO_REVISION;
    }

    private Optional<CategoryCopy> copy(String name) {
        return mCodec.category(name)
                .map(mCopies::get)
                .filter(CategoryCopy::isListed)
                .filter(copy -> !isUncertain(copy));
    }

    /** An entry that may be written again must not be reported as removed. */
    private boolean isUncertain(CategoryCopy copy) {
        return copy.category() == Category.BACKEND_SERVERS && mServers.unconfirmed() > 0;
    }

    /** Request that waits for a change. */
    private static final class HeldRequest {

        private final RelayAsk mRequest;
        private final Consumer<RelayAnswer> mResult;
        private Runnable mTimer = () -> {};

        HeldRequest(RelayAsk request, Consumer<RelayAnswer> result) {
            mRequest = request;
            mResult = result;
        }
    }
}
