package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.lookup.ClientBlockChange;
import io.masticpond.core.lookup.ClientBlockTable;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupParameters;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * {@link Measure} of look-ups: the client block table, changes to it, and complete decisions.
 *
 * @since 0.1
 */
public final class LookupsMeasure implements Measure {

    private static final int BLOCKS = 1_100_000;
    private static final int CHANGES = 1_000;
    private static final int CHANGE_ROUNDS = 15;
    private static final int ADDRESSES = 1 << 18;
    private static final int ROUNDS = 8;
    private static final double BYTES_PER_MEBIBYTE = 1024.0 * 1024.0;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "lookups";
    }

    @Override
    public String explanation() {
        return "Look-ups on one core: the longest match among 1.1 million client blocks to 94"
                + " sites, a change of 1,000 blocks, the bytes of the table, whole decisions"
                + " a second for the nine instances of Atlas and for 410 instances, the same"
                + " through HTTP on loopback, and what one instance's death costs if the answer"
                + " names the admitter first.";
    }

    @Override
    public MeasureReport run(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SyntheticBlocks blocks = new SyntheticBlocks(random);
        MeasureReport report = new MeasureReport();
        ClientBlockTable mixed = measureTable(report, blocks, false);
        measureDecisions(report, blocks, mixed);
        measureTable(report, blocks, true);
        HttpLookups.Result http = new HttpLookups().run();
        report.figure("httpLookupsPerSecond", http.perSecond());
        report.figure("httpServerMicrosPerLookup", http.serverMicros());
        report.table(InstanceFailureCost.table());
        return report;
    }

    private ClientBlockTable measureTable(
            MeasureReport report, SyntheticBlocks blocks, boolean longPrefixes) {
        String suffix = longPrefixes ? "LongPrefixes" : "";
        ClientBlockTable table =
                ClientBlockTable.EMPTY.with(blocks.generate(BLOCKS, longPrefixes)).get();
        ClientBlock[] addresses = new ClientBlock[ADDRESSES];
        Arrays.setAll(addresses, i -> blocks.randomAddress());
        double nanos = nanosForEach(addresses, address -> table.find(address).hashCode());
        double[] changeMillis = changeMillis(blocks, table, longPrefixes);
        report.figure("blockLookupNanos" + suffix, nanos, MeasureTarget.atMost(500));
        report.figure("bytesPerBlock" + suffix, (double) table.bytes() / table.size());
        report.figure(
                "tableMebibytes" + suffix,
                table.bytes() / BYTES_PER_MEBIBYTE,
                MeasureTarget.atMost(48));
        report.figure("changeMillisMedian" + suffix, changeMillis[CHANGE_ROUNDS / 2]);
        report.figure(
                "changeMillisWorst" + suffix,
                changeMillis[CHANGE_ROUNDS - 1],
                MeasureTarget.atMost(50));
        return table;
    }

    /**
     * Returns the durations of changes that add or move blocks, in milliseconds and ascending
     * order; the first rounds only warm up the code.
     */
    private static double[] changeMillis(
            SyntheticBlocks blocks, ClientBlockTable table, boolean longPrefixes) {
        double[] millis = new double[CHANGE_ROUNDS];
        ClientBlockTable current = table;
        for (int round = -ROUNDS; round < CHANGE_ROUNDS; round++) {
            List<ClientBlockChange> changes = blocks.generate(CHANGES, longPrefixes);
            long start = System.nanoTime();
            current = current.with(changes).get();
            long end = System.nanoTime();
            if (round >= 0) {
                millis[round] = (end - start) / NANOS_PER_MILLI;
            }
        }
        Arrays.sort(millis);
        return millis;
    }

    private static void measureDecisions(
            MeasureReport report, SyntheticBlocks blocks, ClientBlockTable table) {
        List<List<String>> rows = new ArrayList<>();
        ClientBlock[] addresses = new ClientBlock[ADDRESSES];
        Arrays.setAll(addresses, i -> blocks.randomAddress());
        for (LookupTopology topology : LookupTopology.values()) {
            Configuration configuration = topology.configuration(SyntheticBlocks.sites());
            LookupDecider decider =
                    new LookupDecider(
                            configuration,
                            table,
                            topology.members(),
                            topology.ownZone(),
                            LookupParameters.DEFAULT);
            double nanos =
                    nanosForEach(
                            addresses,
                            address -> decider.decide(Optional.of(address)).instances().size());
            double perSecond = TimeUnit.SECONDS.toNanos(1) / nanos;
            report.figure("decisionsPerSecond" + topology.suffix(), perSecond);
            rows.add(
                    List.of(
                            topology.title(),
                            String.format(Locale.ROOT, "%.0f", nanos),
                            String.format(Locale.ROOT, "%.0f", perSecond)));
        }
        report.table(
                new MeasureTable(
                        "Whole decisions on one core",
                        List.of("Instances", "Nanoseconds each", "Decisions a second"),
                        rows));
    }

    /**
     * Calls the function for each address on one thread, and returns the mean duration of a call in
     * the fastest round, in nanoseconds.
     */
    private static double nanosForEach(ClientBlock[] addresses, ToLongFunction<ClientBlock> call) {
        double fastest = Double.MAX_VALUE;
        long sum = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (ClientBlock address : addresses) {
                sum += call.applyAsLong(address);
            }
            fastest = Math.min(fastest, (double) (System.nanoTime() - start) / addresses.length);
        }
        if (sum == Long.MIN_VALUE) {
            throw new IllegalStateException(
                    "The sum only keeps the compiler from eliminating the calls.");
        }
        return fastest;
    }
}
