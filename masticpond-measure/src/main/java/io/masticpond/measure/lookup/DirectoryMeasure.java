package io.masticpond.measure.lookup;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.directory.DirectoryDecider;
import io.masticpond.entry.directory.DirectorySettings;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * {@link Measure} of the processor time in which the entry's directory decides, among many
 * instances, to which of them a client may connect.
 *
 * @since 0.2
 */
public final class DirectoryMeasure implements Measure {

    private static final int ZONES = 16;
    private static final int REGIONS = 5;
    private static final int FLEET_INSTANCES = 410;
    private static final int WARM_UP = 100_000;
    private static final int DECISIONS = 200_000;
    private static final int ROUNDS = 5;
    private static final double LOOKUPS_PER_SECOND = 350_000;
    private static final double PERCENT = 100;

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    @Override
    public String name() {
        return "directory";
    }

    @Override
    public String explanation() {
        return """
        One thread decides for clients of random zones among 10, 80 and 410 ready instances in 16
        availability zones of five regions: 200,000 decisions a round, five rounds. The table
        has the thread's processor time of a decision, of the quickest and the slowest round.
        HTTP and JSON are not in it. 350,000 look-ups a second over 410 instances are 854 for
        each.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        MeasureReport report = new MeasureReport();
        List<List<String>> rows = new ArrayList<>();
        for (int instances : new int[] {10, 80, FLEET_INSTANCES}) {
            double[] micros = rounds(instances, random);
            rows.add(List.of(Integer.toString(instances), text(micros[0]), text(micros[1])));
            if (instances == FLEET_INSTANCES) {
                double perSecond = LOOKUPS_PER_SECOND / FLEET_INSTANCES;
                double share = perSecond * micros[1] / TimeUnit.SECONDS.toMicros(1);
                report.figure("decisionMicros", micros[0]);
                report.figure("slowestDecisionMicros", micros[1]);
                report.figure("corePercentForDecisions", PERCENT * share);
            }
        }
        return report.table(
                new MeasureTable(
                        "Processor time of a decision",
                        List.of("instances", "quickest round, µs", "slowest round, µs"),
                        rows));
    }

    private double[] rounds(int instances, UniformRandomProvider random) {
        PeerView view = new FixedView(members(instances));
        DirectoryDecider decider =
                new DirectoryDecider(DirectorySettings.DEFAULT, view, view.alive().get(0).id());
        decide(decider, random, WARM_UP);
        double quickest = Double.MAX_VALUE;
        double slowest = 0;
        for (int round = 0; round < ROUNDS; round++) {
            double micros = decide(decider, random, DECISIONS);
            quickest = Math.min(quickest, micros);
            slowest = Math.max(slowest, micros);
        }
        return new double[] {quickest, slowest};
    }

    /**
     * Makes the given number of decisions and returns their mean processor time, in microseconds.
     */
    private double decide(DirectoryDecider decider, UniformRandomProvider random, int count) {
        long addressCount = 0;
        long start = mThreads.getCurrentThreadCpuTime();
        for (int i = 0; i < count; i++) {
            int zone = random.nextInt(ZONES);
            addressCount += decider.decide(region(zone), zone(zone)).addresses().size();
        }
        long nanos = mThreads.getCurrentThreadCpuTime() - start;
        if (addressCount < count) {
            throw new IllegalStateException("Each decision must name an instance.");
        }
        return (double) nanos / count / TimeUnit.MICROSECONDS.toNanos(1);
    }

    private static List<PeerInstance> members(int count) {
        List<PeerInstance> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerAddress address = new ServerAddress("10.0." + i / 200 + "." + (i % 200 + 1), 80);
            members.add(
                    new PeerInstance(
                            new InstanceId("instance-" + i),
                            1,
                            zone(i % ZONES),
                            region(i % ZONES),
                            address,
                            address,
                            true,
                            1));
        }
        return List.copyOf(members);
    }

    private static ZoneId zone(int number) {
        return new ZoneId("zone-" + number);
    }

    private static RegionId region(int zone) {
        return new RegionId("region-" + zone % REGIONS);
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    /** Fixed peer view in which all instances are alive and none is suspected. */
    private record FixedView(List<PeerInstance> alive) implements PeerView {

        @Override
        public Set<InstanceId> suspects() {
            return Set.of();
        }

        @Override
        public int shareholders() {
            return alive.size();
        }
    }
}
