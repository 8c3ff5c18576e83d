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
 * Joins the spending gate, which belongs to the steering duty, with the ledgers at the platform,
 * whose documents are read and written on the spending duty.
 *
 * <p>The steering duty never waits: a call that finds the ring of the spending duty full is
 * answered as if the platform were away. Answers are put into the ring of the steering duty and
 * wait for room there, because an account makes no other call before its last one is answered.
 *
 * @since 0.1
 */
public final class SpendingService implements AutoCloseable {

    /** The bound of the error of the instances' clocks. */
    public static final Duration CLOCK_ERROR = Duration.ofMillis(500);

    private static final Logger sLogger = LoggerFactory.getLogger(SpendingService.class);
    private static final int RING_CAPACITY = 1_024;
    private static final Duration OBSERVE_PERIOD = Duration.ofSeconds(1);
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(100);

    private final EventLoop mSteering;
    private final EventLoop mDuty;
    private final PlatformLedgers mLedgers;
    private final DefaultSpendingGate mGate;
    private final Queue<LedgerKey> mNotTaken = new ArrayDeque<>();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private volatile List<SpendingView> mViews = List.of();

    /**
     * Makes the duty and its gate; the steering duty must not be started yet.
     *
     * @param steering the duty that charges
     * @param ledgers the ledgers at the platform
     * @param self this run of the instance
     * @param policy how allotments are sized
     * @param timeSource the clocks
     * @param timeline takes events
     */
    public SpendingService(
            EventLoop steering,
            PlatformLedgers ledgers,
            Incarnation self,
            AllotmentPolicy policy,
            TimeSource timeSource,
            Timeline timeline) {
        mSteering = steering;
        mLedgers = ledgers;
        mDuty = new EventLoop("spending", RING_CAPACITY, timeSource);
        mGate =
                new DefaultSpendingGate(
                        self,
                        policy,
                        CLOCK_ERROR,
                        new Calls(),
                        timeSource,
                        timeline,
                        self.hashCode());
        steering.every(ADVANCE_PERIOD, this::advance);
    }

    /**
     * Gives the gate.
     *
     * @return the gate, for the steering duty only
     */
    public SpendingGate gate() {
        return mGate;
    }

    /**
     * Shows the accounts in metrics; call it before the steering duty starts.
     *
     * @param metrics the metrics
     * @param timeSource the clocks
     */
    public void bindTo(SpendingMetrics metrics, TimeSource timeSource) {
        SpendingObserver observer = new SpendingObserver(metrics, timeSource);
        mSteering.every(OBSERVE_PERIOD, () -> observer.accept(mViews));
    }

    /** Starts the thread of the platform's answers. */
    public void start() {
        mDuty.start();
    }

    /**
     * Takes a configuration that is in force now. Safe for all threads but that of the duty.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mSteering.put(() -> mGate.configure(configuration));
    }

    /**
     * Takes how many instances share the caps. Safe for all threads but that of the duty.
     *
     * @param holders the live instances, this one included
     */
    public void updateHolderCount(int holders) {
        mSteering.put(() -> mGate.holders(Math.max(1, holders)));
    }

    /**
     * Tells the accounts of this instance as they were within the last tenth of a second. Safe for
     * all threads.
     *
     * @return a view for each service and shift
     */
    public List<SpendingView> views() {
        return mViews;
    }

    /**
     * Returns what is left of the allotments, after the last request of a planned stop. Safe for
     * all threads.
     *
     * @return completes when the platform has taken back everything; give it a timeout, since the
     *     platform may be away
     */
    public CompletableFuture<Void> stop() {
        mSteering.put(mGate::stop);
        return mStopped;
    }

    /** Ends the thread without returning anything. */
    @Override
    public void close() {
        mDuty.close();
    }

    private void advance() {
        while (!mNotTaken.isEmpty()) {
            mGate.onAnswer(mNotTaken.remove(), new LedgerAnswer.Unavailable());
        }
        mGate.advance();
        mViews = mGate.views();
        if (mGate.isStopped() && mStopped.complete(null)) {
            sLogger.info("SPEND  All allotments are returned.");
        }
    }

    private void call(
            LedgerKey key, Supplier<CompletableFuture<PlatformLedgers.LedgerReply>> call) {
        Assert.isTrue(mSteering.isCurrentThread(), "Accounts belong to the steering duty.");
        boolean taken = mDuty.offer(() -> start(key, call));
        if (!taken) {
            mNotTaken.add(key);
        }
    }

    private void start(
            LedgerKey key, Supplier<CompletableFuture<PlatformLedgers.LedgerReply>> call) {
        var unused =
                call.get()
                        .thenAccept(reply -> handOver(key, reply))
                        .exceptionally(error -> logFailed(key, error));
    }

    private static Void logFailed(LedgerKey key, Throwable error) {
        sLogger.error("SPEND  The answer to a call for the ledger {} was lost.", key, error);
        return null;
    }

    private void handOver(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        if (mDuty.isCurrentThread()) {
            answer(key, reply);
            return;
        }
        mDuty.put(() -> answer(key, reply));
    }

    private void answer(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        LedgerAnswer answer = parse(key, reply);
        log(key, answer);
        mSteering.put(() -> mGate.onAnswer(key, answer));
    }

    private static LedgerAnswer parse(LedgerKey key, PlatformLedgers.LedgerReply reply) {
        try {
            return reply.parse();
        } catch (RuntimeException e) {
            sLogger.error("SPEND  An answer about the ledger {} could not be read.", key, e);
            return new LedgerAnswer.Unreadable("An answer about " + key + " could not be read.");
        }
    }

    private static void log(LedgerKey key, LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Unreadable unreadable) {
            sLogger.error("SPEND  No more is taken from a ledger: {}", unreadable.reason());
        }
        if (answer instanceof LedgerAnswer.Uncertain) {
            sLogger.info("SPEND  The answer about the ledger {} was lost; reading back.", key);
        }
    }

    /** Hands calls to the spending duty. */
    private final class Calls implements LedgerSink {

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
