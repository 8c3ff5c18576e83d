package io.masticpond.daemon.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.spending.DefaultSpendingGate;
import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerChange;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.LedgerSink;
import io.masticpond.core.spending.SpendingGate;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.metrics.SpendingMetrics;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that connects the spending gate, which is confined to the steering thread, with the
 * ledgers at the platform, whose documents are encoded and decoded on the spending thread.
 *
 * <p>The steering thread never blocks: a call that finds the queue of the spending event loop full
 * is answered as if the platform were unavailable. Answers are queued on the steering event loop,
 * and the spending thread blocks while that queue is full: no answer may be lost, because an
 * account makes no further call until its last one is answered.
 *
 * @since 0.1
 */
public final class SpendingService implements AutoCloseable {

    /** Maximum error of the instances' wall clocks. */
    public static final Duration CLOCK_ERROR = Duration.ofMillis(500);

    private static final Logger sLogger = LoggerFactory.getLogger(SpendingService.class);
    private static final int QUEUE_CAPACITY = 1_024;
    private static final Duration OBSERVE_PERIOD = Duration.ofSeconds(1);
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(100);

    private final EventLoop mSteeringLoop;
    private final EventLoop mSpendingLoop;
    private final PlatformLedgers mLedgers;
    private final DefaultSpendingGate mGate;
    private final Queue<LedgerKey> mRejectedCalls = new ArrayDeque<>();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private volatile List<SpendingView> mViews = List.of();

    /**
     * Creates the service and its gate; the steering event loop must not be started yet.
     *
     * @param steeringLoop the steering event loop, which charges requests
     * @param ledgers the ledgers at the platform
     * @param self the incarnation of this instance
     * @param policy the policy that sizes allotments
     * @param timeSource the source of the current time
     * @param timeline records events
     */
    public SpendingService(
            EventLoop steeringLoop,
            PlatformLedgers ledgers,
            Incarnation self,
            AllotmentPolicy policy,
            TimeSource timeSource,
            Timeline timeline) {
        mSteeringLoop = steeringLoop;
        mLedgers = ledgers;
        mSpendingLoop = new EventLoop("spending", QUEUE_CAPACITY, timeSource);
        mGate =
                new DefaultSpendingGate(
                        self,
                        policy,
                        CLOCK_ERROR,
                        new LedgerCalls(),
                        timeSource,
                        timeline,
                        self.hashCode());
        steeringLoop.schedulePeriodically(ADVANCE_PERIOD, this::advance);
    }

    /**
     * Returns the spending gate.
     *
     * @return the gate, to be used only on the steering thread
     */
    public SpendingGate gate() {
        return mGate;
    }

    /**
     * Publishes the accounts as metrics. Must be called before the steering event loop starts.
     *
     * @param metrics the metrics
     * @param timeSource the source of the current time
     */
    public void bindTo(SpendingMetrics metrics, TimeSource timeSource) {
        SpendingObserver observer = new SpendingObserver(metrics, timeSource);
        mSteeringLoop.schedulePeriodically(OBSERVE_PERIOD, () -> observer.accept(mViews));
    }

    /** Starts the spending thread, which handles the platform's answers. */
    public void start() {
        mSpendingLoop.start();
    }

    /**
     * Applies the configuration that is in force now.
     *
     * <p>Thread-safe, but blocks while the queue of the steering event loop is full, unless called
     * on the steering thread. Must not be called from a thread that the steering thread waits for,
     * see {@link EventLoop#put}.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mSteeringLoop.put(() -> mGate.configure(configuration));
    }

    /**
     * Sets the number of instances that share the caps.
     *
     * <p>Thread-safe, but blocks while the queue of the steering event loop is full, unless called
     * on the steering thread. Must not be called from a thread that the steering thread waits for,
     * see {@link EventLoop#put}.
     *
     * @param holders the number of live instances, this one included
     */
    public void updateHolderCount(int holders) {
        mSteeringLoop.put(() -> mGate.setHolders(Math.max(1, holders)));
    }

    /**
     * Returns the accounts of this instance, updated every tenth of a second. Thread-safe.
     *
     * @return a view for each service and shift
     */
    public List<SpendingView> views() {
        return mViews;
    }

    /**
     * Returns the remaining allotments to the platform, after the last request of a planned stop.
     *
     * <p>Thread-safe, but blocks while the queue of the steering event loop is full, unless called
     * on the steering thread. Must not be called from a thread that the steering thread waits for,
     * see {@link EventLoop#put}.
     *
     * @return a future that completes when all allotments are returned; wait for it with a timeout,
     *     since the platform may be unavailable
     */
    public CompletableFuture<Void> stop() {
        mSteeringLoop.put(mGate::stop);
        return mStopped;
    }

    /** Stops the spending thread without returning any allotments. */
    @Override
    public void close() {
        mSpendingLoop.close();
    }

    private void advance() {
        while (!mRejectedCalls.isEmpty()) {
            mGate.onAnswer(mRejectedCalls.remove(), new LedgerAnswer.Unavailable());
        }
        mGate.advance();
        mViews = mGate.views();
        if (mGate.isStopped() && mStopped.complete(null)) {
            sLogger.info("SPEND  All allotments have been returned.");
        }
    }

    private void call(
            LedgerKey key, Supplier<CompletableFuture<PlatformLedgers.LedgerReply>> call) {
        Assert.isTrue(
                mSteeringLoop.isCurrentThread(), "Accounts are confined to the steering thread.");
        boolean queued = mSpendingLoop.offer(() -> start(key, call));
        if (!queued) {
            mRejectedCalls.add(key);
        }
    }

    private void start(
            LedgerKey key, Supplier<CompletableFuture<PlatformLedgers.LedgerReply>> call) {
        var unused =
                call.get()
                        .thenAccept(reply -> handleReply(key, reply))
                        .exceptionally(error -> logFailure(key, error));
    }

    private static Void logFailure(LedgerKey key, Throwable error) {
        sLogger.error("SPEND  The answer to a call for the ledger {} was lost.", key, error);
        return null;
    }

    private void handleReply(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        if (mSpendingLoop.isCurrentThread()) {
            answer(key, reply);
            return;
        }
        mSpendingLoop.put(() -> answer(key, reply));
    }

    private void answer(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        LedgerAnswer answer = parse(key, reply);
        log(key, answer);
        mSteeringLoop.put(() -> mGate.onAnswer(key, answer));
    }

    private static LedgerAnswer parse(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        try {
            return reply.parse();
        } catch (RuntimeException e) {
            sLogger.error("SPEND  An answer about the ledger {} could not be parsed.", key, e);
            return new LedgerAnswer.Unreadable("An answer about " + key + " could not be read.");
        }
    }

    private static void log(LedgerKey key, LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Unreadable unreadable) {
            sLogger.error(
                    "SPEND  No further allotments are taken from an unreadable ledger: {}",
                    unreadable.reason());
        }
        if (answer instanceof LedgerAnswer.Uncertain) {
            sLogger.info(
                    "SPEND  The answer about the ledger {} was lost; reading the ledger back.",
                    key);
        }
    }

    /** Sink that passes calls of the gate to the spending event loop. */
    private final class LedgerCalls implements LedgerSink {

        @Override
        public void read(LedgerKey key) {
            call(key, () -> mLedgers.read(key));
        }

        @Override
        public void write(LedgerChange change) {
            call(change.key(), () -> mLedgers.write(change));
        }
    }
}
