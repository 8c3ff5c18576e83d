package io.masticpond.measure.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.PriceSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.VersionedLedger;
import io.masticpond.measure.support.EventQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulation of a spending scenario in virtual time. The amount spent is counted independently of
 * the state machines under test: each charged request is executed immediately, and its price is
 * added to the shift at the true time.
 */
final class SpendingSimulation {

    static final ServiceId SERVICE = new ServiceId("layout-view");
    static final LedgerKey FIRST_LEDGER = new LedgerKey(SERVICE, new ShiftId("1970-01-01-first"));
    static final LedgerKey SECOND_LEDGER = new LedgerKey(SERVICE, new ShiftId("1970-01-01-second"));

    private static final long[] PRICES = {1_000, 1_200, 1_500};
    private static final double MEAN_PRICE = (1_000 + 1_200 + 1_500) / 3.0;
    private static final Duration AFTER_BOUNDARY = Duration.ofMinutes(5);
    private static final Duration PAUSE = Duration.ofMinutes(1);
    private static final Duration RESTART = Duration.ofSeconds(5);
    private static final long CLOCK_ERROR_MILLIS = 400;
    private static final long FIRST_ARRIVAL_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpendingScenario mScenario;
    private final EventQueue mEvents = new EventQueue();
    private final UniformRandomProvider mRandom;
    private final FakeLedgerPlatform mPlatform;
    private final List<SpendingNode> mNodes = new ArrayList<>();
    private final Configuration mConfiguration;
    private final long mCapMicros;
    private final long mShiftNanos;
    private final long[] mSpentMicros = new long[2];
    private long mIncarnation = 1;
    private long mSpentAtRefusal = -1;
    private long mRefusedAtCap;
    private long mRefusedOtherwise;
    private long mCharges;
    private long mPeakWrites;
    private long mStrandedMicros;
    private Consumer<SpendingNode> mRefusalListener = node -> {};

    SpendingSimulation(SpendingScenario scenario, long seed) {
        mScenario = scenario;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new FakeLedgerPlatform(mEvents, mRandom, scenario.lostShare());
        mShiftNanos = scenario.shift().toNanos();
        double demandMicros =
                scenario.requestsPerSecond() * MEAN_PRICE * mShiftNanos / NANOS_PER_SECOND;
        mCapMicros = (long) (demandMicros / scenario.demand());
        mConfiguration = configuration();
        for (int index = 0; index < scenario.instances(); index++) {
            mNodes.add(start(index));
        }
    }

    /** Runs the first shift and the first five minutes of the second. */
    SpendingSimulation run() {
        scheduleFaults();
        runUntil(mShiftNanos + AFTER_BOUNDARY.toNanos());
        return this;
    }

    /**
     * Runs until a virtual time in nanoseconds; the first call starts arrivals and gate advances.
     */
    void runUntil(long nanos) {
        if (mEvents.nanos() == 0) {
            scheduleLoops();
        }
        mEvents.runUntil(nanos);
    }

    void setRefusalListener(Consumer<SpendingNode> listener) {
        mRefusalListener = listener;
    }

    EventQueue events() {
        return mEvents;
    }

    List<SpendingNode> nodes() {
        return mNodes;
    }

    FakeLedgerPlatform platform() {
        return mPlatform;
    }

    long capMicros() {
        return mCapMicros;
    }

    long charges() {
        return mCharges;
    }

    long refusedAtCap() {
        return mRefusedAtCap;
    }

    long refusedOtherwise() {
        return mRefusedOtherwise;
    }

    long peakWritesPerSecond() {
        return mPeakWrites;
    }

    /**
     * Returns the number of shifts in which the amount spent, by true time, or allotted exceeded
     * the cap.
     */
    int shiftsOverCap() {
        int overCap = 0;
        LedgerKey[] keys = {FIRST_LEDGER, SECOND_LEDGER};
        for (int shift = 0; shift < keys.length; shift++) {
            boolean capExceeded =
                    mSpentMicros[shift] > mCapMicros || allotted(keys[shift]) > mCapMicros;
            overCap += capExceeded ? 1 : 0;
        }
        return overCap;
    }

    double spentShare(int shift) {
        return (double) mSpentMicros[shift] / mCapMicros;
    }

    /**
     * Returns the share of the cap that was spent when a request was first refused because of the
     * cap.
     */
    double spentShareAtRefusal() {
        return (double) mSpentAtRefusal / mCapMicros;
    }

    /** Returns the mean share of the cap stranded by the crash of an instance. */
    double strandedShare() {
        return mScenario.crashes() == 0
                ? 0
                : (double) mStrandedMicros / mCapMicros / mScenario.crashes();
    }

    private long allotted(LedgerKey key) {
        return mPlatform.ledger(key).map(VersionedLedger::ledger).stream()
                .mapToLong(ledger -> ledger.allottedMicros())
                .sum();
    }

    private SpendingNode start(int index) {
        Duration error =
                Duration.ofMillis(
                        mRandom.nextLong(2 * CLOCK_ERROR_MILLIS + 1) - CLOCK_ERROR_MILLIS);
        SpendingNode node =
                new SpendingNode(
                        index,
                        mIncarnation++,
                        mScenario.policy(),
                        mPlatform,
                        new SkewedTimeSource(mEvents.timeSource(), error));
        node.configure(mConfiguration, mScenario.instances());
        return node;
    }

    private void scheduleLoops() {
        long period = mScenario.advancePeriod().toNanos();
        for (int index = 0; index < mNodes.size(); index++) {
            int node = index;
            mEvents.after(mRandom.nextLong(period), () -> advance(node, period));
            mEvents.after(FIRST_ARRIVAL_NANOS + nextArrival(), () -> arrive(node));
        }
        countWrites(0);
    }

    private void scheduleFaults() {
        long third = mShiftNanos / 3;
        long outage = mScenario.outage().toNanos();
        if (outage > 0) {
            scheduleOutage(third, outage);
            scheduleOutage(mShiftNanos - outage / 2, outage);
        }
        for (int crash = 0; crash < mScenario.crashes(); crash++) {
            mEvents.schedule(mRandom.nextLong(2 * third), this::crash);
        }
        for (int pause = 0; pause < mScenario.pauses(); pause++) {
            mEvents.schedule(mRandom.nextLong(mShiftNanos), this::pause);
        }
        if (mScenario.pauses() > 0) {
            mEvents.schedule(mShiftNanos - PAUSE.toNanos() / 2, this::pause);
        }
    }

    private void scheduleOutage(long from, long length) {
        mEvents.schedule(from, () -> mPlatform.setUnavailable(true));
        mEvents.schedule(from + length, () -> mPlatform.setUnavailable(false));
    }

    private void advance(int index, long period) {
        mNodes.get(index).advance();
        mEvents.after(period, () -> advance(index, period));
    }

    private void countWrites(long previousWrites) {
        long writes = mPlatform.writes();
        mPeakWrites = Math.max(mPeakWrites, writes - previousWrites);
        mEvents.after((long) NANOS_PER_SECOND, () -> countWrites(writes));
    }

    private void arrive(int index) {
        mEvents.after(nextArrival(), () -> arrive(index));
        SpendingNode node = mNodes.get(index);
        if (!node.isWorking()) {
            return;
        }
        long price = PRICES[mRandom.nextInt(PRICES.length)];
        Either<Refusal, Charge> charge = node.charge(SERVICE, price);
        if (charge.isRight()) {
            execute(price);
            return;
        }
        mRefusalListener.accept(node);
        refused(charge.getLeft());
    }

    /** Executes a request in place of a backend server, and counts its price at the true time. */
    private void execute(long price) {
        mCharges++;
        mSpentMicros[mEvents.nanos() < mShiftNanos ? 0 : 1] += price;
    }

    private void refused(Refusal refusal) {
        if (refusal.cause() != RefusalCause.SPENDING_CAP) {
            mRefusedOtherwise++;
            return;
        }
        mRefusedAtCap++;
        if (mSpentAtRefusal < 0) {
            mSpentAtRefusal = mSpentMicros[0];
        }
    }

    private void crash() {
        int index = mRandom.nextInt(mNodes.size());
        SpendingNode node = mNodes.get(index);
        mStrandedMicros += node.availableMicros(FIRST_LEDGER);
        node.terminate();
        mEvents.after(RESTART.toNanos(), () -> mNodes.set(index, start(index)));
    }

    private void pause() {
        SpendingNode node = mNodes.get(mRandom.nextInt(mNodes.size()));
        node.pause();
        mEvents.after(PAUSE.toNanos(), node::resume);
    }

    private long nextArrival() {
        double mean = mScenario.instances() / mScenario.requestsPerSecond();
        double seconds = -mean * Math.log(1 - mRandom.nextDouble());
        return (long) (seconds * NANOS_PER_SECOND);
    }

    private Configuration configuration() {
        LocalTime boundary = LocalTime.MIDNIGHT.plus(mScenario.shift());
        LocalTime end = boundary.plus(mScenario.shift());
        SpendingSpecification spending =
                new SpendingSpecification(
                        "UTC",
                        List.of(
                                new ShiftSpecification(
                                        "first", LocalTime.MIDNIGHT, boundary, mCapMicros),
                                new ShiftSpecification("second", boundary, end, mCapMicros)));
        List<PriceSpecification> prices = new ArrayList<>();
        for (long price : PRICES) {
            prices.add(new PriceSpecification(new RegionId("region-" + price), price));
        }
        ServiceSpecification service =
                new ServiceSpecification(
                        SERVICE, 1_000, List.of(), List.of(), prices, Optional.of(spending));
        return new Configuration(
                new ConfigurationVersion(1),
                Optional.of(new PlanId("plan")),
                new ConfigurationContent(
                        List.of(), List.of(), List.of(service), List.of(), List.of()));
    }
}
