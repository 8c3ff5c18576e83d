package io.masticpond.measure.configuration;

import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.measure.configuration.MeasuredInstance.InForce;
import io.masticpond.testing.platform.PlatformCallDisposition;
import io.masticpond.testing.platform.PlatformFaults;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * {@link Measure} of configuration changes under faults: two operators race to make 200 changes
 * while the platform loses answers and has outages, and instances are killed and restarted.
 *
 * @since 0.1
 */
public final class ConfigurationMeasure implements Measure {

    private static final int CHANGES = 200;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long RESTART_MILLIS = 700;
    private static final long MAX_RUN_NANOS = Duration.ofSeconds(50).toNanos();
    private static final Duration SETTLE_TIME = Duration.ofSeconds(3);
    private static final double LOST_ANSWER_SHARE = 0.05;
    private static final double LATE_EFFECT_SHARE = 0.02;
    private static final double REFUSED_SHARE = 0.01;
    private static final long ANSWER_DELAY_MILLIS = 5;
    private static final int ROUNDS_PER_OUTAGE = 8;
    private static final double IN_FORCE_TARGET_MILLIS = 2_000;
    private static final double P99 = 99;
    private static final double P50 = 50;
    private static final double MICROS_PER_MILLI = 1_000;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public String explanation() {
        return "Nine instances in six availability zones follow the chain of configurations over"
                + " the real client of the platform and real links, while two operators race to"
                + " make 200 changes at any instance. Of the platform's writes 5 % lose their"
                + " answer after and 2 % before they take effect, 1 % of its calls are refused,"
                + " and it goes away for 0.7 s now and then; every 0.7 s an instance is killed and"
                + " a new run of it started. Heartbeats are stood in for by versions that are up"
                + " to 0.5 s old. The time in force counts from the write of the head at the"
                + " platform to each instance that ran since before it.";
    }

    @Override
    public MeasureReport run(long seed) {
        PlatformState state = new PlatformState(new SystemTimeSource(), seed);
        AcceptanceLog acceptances = new AcceptanceLog(state);
        try (PlatformServer server = new PlatformServer(state, 0);
                MeasuredFleet fleet = new MeasuredFleet(server.address(), seed)) {
            return run(seed, state, acceptances, fleet);
        }
    }

    private static MeasureReport run(
            long seed, PlatformState state, AcceptanceLog acceptances, MeasuredFleet fleet) {
        AtomicInteger accepted = new AtomicInteger();
        List<RacingOperator> operators = new ArrayList<>();
        for (String name : List.of("one", "two")) {
            operators.add(
                    new RacingOperator(name, fleet, accepted, CHANGES, seed + name.hashCode()));
        }
        List<Thread> threads = operators.stream().map(Thread::new).toList();
        state.setFaults(faults());
        state.resetCounts();
        long start = System.nanoTime();
        threads.forEach(Thread::start);
        int reversions = injectFaults(seed, state, fleet, threads, start);
        double seconds = (System.nanoTime() - start) / (double) Duration.ofSeconds(1).toNanos();
        double calls = state.counts().total();
        state.setFaults(PlatformFaults.NONE);
        sendHeartbeats(fleet, SETTLE_TIME);
        return report(fleet, operators, acceptances, reversions, seconds, calls);
    }

    /**
     * Injects platform outages and restarts instances until the operators are done, and interrupts
     * the operators after 50 s.
     *
     * @return the number of restarted instances that became ready with an older version than the
     *     one in force at the run that was killed
     */
    private static int injectFaults(
            long seed,
            PlatformState state,
            MeasuredFleet fleet,
            List<Thread> operators,
            long start) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int reversions = 0;
        int round = 0;
        while (operators.stream().anyMatch(Thread::isAlive)) {
            round++;
            boolean outage = round % ROUNDS_PER_OUTAGE == 0;
            state.setFaults(
                    outage ? PlatformFaults.outage(PlatformCallDisposition.REFUSED) : faults());
            int number = random.nextInt(MeasuredFleet.INSTANCES);
            MeasuredInstance previous = fleet.kill(number);
            MeasuredInstance restarted = fleet.start(number);
            sendHeartbeats(fleet, Duration.ofMillis(RESTART_MILLIS));
            boolean reverted =
                    restarted.isReady()
                            && previous.current().version().isAfter(restarted.current().version());
            reversions += reverted ? 1 : 0;
            if (System.nanoTime() - start > MAX_RUN_NANOS) {
                operators.forEach(Thread::interrupt);
            }
        }
        return reversions;
    }

    private static void sendHeartbeats(MeasuredFleet fleet, Duration duration) {
        long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < end) {
            fleet.heartbeat();
            try {
                Thread.sleep(Math.min(HEARTBEAT_MILLIS, Math.max(1, remainingMillis(end))));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static long remainingMillis(long end) {
        return Duration.ofNanos(end - System.nanoTime()).toMillis();
    }

    private static PlatformFaults faults() {
        return new PlatformFaults(
                PlatformCallDisposition.SERVED,
                REFUSED_SHARE,
                LOST_ANSWER_SHARE,
                LATE_EFFECT_SHARE,
                ANSWER_DELAY_MILLIS,
                0,
                0);
    }

    private static MeasureReport report(
            MeasuredFleet fleet,
            List<RacingOperator> operators,
            AcceptanceLog acceptances,
            int restartReversions,
            double seconds,
            double calls) {
        Histogram times = new Histogram(2);
        for (MeasuredInstance instance : fleet.allRuns()) {
            times.add(timesInForce(instance, acceptances.nanosByVersion()));
        }
        Set<String> sites =
                fleet.live(0).current().content().sites().stream()
                        .map(SiteSpecification::id)
                        .map(Object::toString)
                        .collect(Collectors.toSet());
        long changes = operators.stream().mapToLong(each -> each.accepted().size()).sum();
        double bytes =
                fleet.allRuns().stream()
                        .mapToLong(each -> each.linkStatistics().bytesWritten())
                        .sum();
        double perInstance = Math.max(1, changes) * MeasuredFleet.INSTANCES;
        return new MeasureReport()
                .table(operatorTable(operators))
                .table(ChangeSizes.table())
                .figure("changes", changes, MeasureTarget.atLeast(CHANGES))
                .figure(
                        "reversions",
                        restartReversions + countReversionsWithinRuns(fleet),
                        MeasureTarget.atMost(0))
                .figure("lostAccepted", countLostChanges(operators, sites), MeasureTarget.atMost(0))
                .figure(
                        "refusedInForce",
                        countRefusedInForce(operators, sites),
                        MeasureTarget.atMost(0))
                .figure("laggingAtEnd", countLagging(fleet), MeasureTarget.atMost(0))
                .figure("inForceMillisP50", times.getValueAtPercentile(P50) / MICROS_PER_MILLI)
                .figure(
                        "inForceMillisP99",
                        times.getValueAtPercentile(P99) / MICROS_PER_MILLI,
                        MeasureTarget.atMost(IN_FORCE_TARGET_MILLIS))
                .figure("inForceMillisMaximum", times.getMaxValue() / MICROS_PER_MILLI)
                .figure("runs", fleet.allRuns().size())
                .figure("seconds", seconds)
                .figure("platformCallsPerChange", calls / Math.max(1, changes))
                .figure("bytesPerInstanceAndChange", bytes / perInstance);
    }

    /**
     * Returns the times from the write of a version to its use at an instance, in microseconds.
     * Only versions that were written while this run of the instance was ready and running are
     * counted.
     */
    private static Histogram timesInForce(MeasuredInstance instance, Map<Long, Long> acceptances) {
        Histogram times = new Histogram(2);
        List<InForce> inForce = instance.inForce();
        if (inForce.isEmpty()) {
            return times;
        }
        long first = inForce.get(0).version();
        for (Map.Entry<Long, Long> acceptance : acceptances.entrySet()) {
            if (acceptance.getKey() <= first) {
                continue;
            }
            for (InForce event : inForce) {
                if (event.version() >= acceptance.getKey()) {
                    long nanos = Math.max(0, event.nanos() - acceptance.getValue());
                    times.recordValue(Duration.ofNanos(nanos).toNanos() / 1_000);
                    break;
                }
            }
        }
        return times;
    }

    private static long countReversionsWithinRuns(MeasuredFleet fleet) {
        long reversions = 0;
        for (MeasuredInstance instance : fleet.allRuns()) {
            long highest = 0;
            for (InForce event : instance.inForce()) {
                reversions += event.version() <= highest ? 1 : 0;
                highest = Math.max(highest, event.version());
            }
        }
        return reversions;
    }

    /** Counts accepted changes that are missing, and versions that were reported for two plans. */
    private static long countLostChanges(List<RacingOperator> operators, Set<String> sites) {
        long lost = 0;
        Map<Long, String> plans = new HashMap<>();
        for (RacingOperator operator : operators) {
            for (Map.Entry<String, Long> change : operator.accepted().entrySet()) {
                lost += sites.contains(change.getKey()) ? 0 : 1;
                lost += plans.put(change.getValue(), change.getKey()) == null ? 0 : 1;
            }
        }
        return lost;
    }

    private static long countRefusedInForce(List<RacingOperator> operators, Set<String> sites) {
        return operators.stream()
                .flatMap(operator -> operator.refused().stream())
                .filter(sites::contains)
                .count();
    }

    private static long countLagging(MeasuredFleet fleet) {
        long highest =
                fleet.live().stream()
                        .mapToLong(each -> each.current().version().number())
                        .max()
                        .orElse(0);
        return fleet.live().stream()
                .filter(each -> each.current().version().number() < highest)
                .count();
    }

    private static MeasureTable operatorTable(List<RacingOperator> operators) {
        return new MeasureTable(
                "What the operators were told",
                List.of("Operator", "Accepted", "Base changed", "Unsettled", "Platform away"),
                operators.stream()
                        .map(
                                operator ->
                                        List.of(
                                                Integer.toString(operators.indexOf(operator) + 1),
                                                format(operator.accepted().size()),
                                                format(operator.refused().size()),
                                                format(operator.unsettled()),
                                                format(operator.unavailable())))
                        .toList());
    }

    private static String format(long number) {
        return String.format(Locale.ROOT, "%d", number);
    }
}
