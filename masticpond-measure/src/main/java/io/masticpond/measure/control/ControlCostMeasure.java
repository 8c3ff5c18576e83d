package io.masticpond.measure.control;

import io.masticpond.core.id.ZoneId;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasurePlot;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.ToDoubleFunction;

/**
 * {@link Measure} of the processor time, bytes and heap that a daemon spends on control, by the
 * number of its peers.
 *
 * @since 0.1
 */
public final class ControlCostMeasure implements Measure {

    private static final List<Integer> PEERS = List.of(4, 8, 16, 32);
    private static final int WARM_UP_PEERS = 16;
    private static final int ZONES = 6;
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(7);
    private static final double PERCENT = 100;

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();

    @Override
    public String name() {
        return "control-cost";
    }

    @Override
    public String explanation() {
        return "Real links and membership duties of 5, 9, 17 and 33 daemons in one process on"
                + " loopback, idle but for control, each with one entry of headroom. Processor time"
                + " is that of the threads of links and membership, in a window of seven seconds"
                + " after four to settle; bytes are those of frames, without TCP and IP headers."
                + " Above ten daemons each has a few neighbors only, so cost follows the"
                + " connections; slopes are least squares over these, with standard errors.";
    }

    @Override
    public MeasureReport run(long seed) {
        List<ControlCost> costs = new ArrayList<>();
        measureCost(WARM_UP_PEERS, seed);
        for (int peers : PEERS) {
            costs.add(measureCost(peers, seed));
        }
        MeasureReport report = new MeasureReport().table(table(costs)).plot(plot(costs));
        addSlopeFigures(report, "processorPercent", costs, ControlCost::processorPercent);
        addSlopeFigures(report, "bytesPerSecond", costs, ControlCost::bytesPerSecond);
        addSlopeFigures(report, "heapKilobytes", costs, ControlCost::heapKilobytes);
        ControlCost largest = costs.get(costs.size() - 1);
        report.figure("processorPercentAtMostPeers", largest.processorPercent());
        report.figure("bytesPerSecondAtMostPeers", largest.bytesPerSecond());
        report.figure("connectionsAtMostPeers", largest.connections());
        return report;
    }

    private static void addSlopeFigures(
            MeasureReport report,
            String name,
            List<ControlCost> costs,
            ToDoubleFunction<ControlCost> value) {
        LineFit fit = LineFit.of(costs, ControlCost::connections, value);
        report.figure(name + "Fixed", fit.intercept());
        report.figure(name + "ForEachConnection", fit.slope());
        report.figure(name + "ForEachConnectionError", fit.slopeError());
    }

    private ControlCost measureCost(int peers, long seed) {
        ListOnlyStore store = new ListOnlyStore();
        List<ControlNode> nodes = new ArrayList<>();
        long heapBefore = usedHeap();
        try {
            for (int i = 0; i <= peers; i++) {
                nodes.add(new ControlNode(i, new ZoneId("zone" + i % ZONES), store, seed));
            }
            store.setInstances(nodes.stream().map(ControlNode::listedInstance).toList());
            nodes.forEach(ControlNode::start);
            LockSupport.parkNanos(SETTLE_NANOS);
            return measureWindow(nodes, heapBefore);
        } finally {
            nodes.forEach(ControlNode::close);
        }
    }

    private ControlCost measureWindow(List<ControlNode> nodes, long heapBefore) {
        int size = nodes.size();
        if (nodes.stream().anyMatch(node -> node.liveCount() != size)) {
            throw new IllegalStateException("Not all daemons found each other.");
        }
        double heapKilobytes = (usedHeap() - heapBefore) / 1_024.0 / size;
        long start = System.nanoTime();
        long processorBefore = processorNanos();
        long bytesBefore = frameBytes(nodes);
        LockSupport.parkNanos(WINDOW_NANOS);
        double seconds = (System.nanoTime() - start) / 1e9;
        double processor = (processorNanos() - processorBefore) / 1e9 / seconds / size;
        double bytes = (frameBytes(nodes) - bytesBefore) / seconds / size;
        double connections =
                nodes.stream()
                        .mapToLong(node -> node.linkStatistics().connections())
                        .average()
                        .orElseThrow();
        return new ControlCost(size - 1, connections, processor * PERCENT, bytes, heapKilobytes);
    }

    private long processorNanos() {
        long sum = 0;
        for (ThreadInfo thread : mThreads.getThreadInfo(mThreads.getAllThreadIds())) {
            if (thread != null && isControlThread(thread.getThreadName())) {
                sum += Math.max(0, mThreads.getThreadCpuTime(thread.getThreadId()));
            }
        }
        return sum;
    }

    private static boolean isControlThread(String thread) {
        return thread.startsWith("membership") || thread.startsWith("instance-links");
    }

    private static long frameBytes(List<ControlNode> nodes) {
        return nodes.stream()
                .map(ControlNode::linkStatistics)
                .mapToLong(statistics -> statistics.bytesRead() + statistics.bytesWritten())
                .sum();
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static MeasureTable table(List<ControlCost> costs) {
        return new MeasureTable(
                "Cost of control for one daemon",
                List.of("peers", "connections", "percent of a core", "bytes/s", "heap KB"),
                costs.stream()
                        .map(
                                cost ->
                                        List.of(
                                                Integer.toString(cost.peers()),
                                                text(cost.connections()),
                                                text(cost.processorPercent()),
                                                text(cost.bytesPerSecond()),
                                                text(cost.heapKilobytes())))
                        .toList());
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static MeasurePlot plot(List<ControlCost> costs) {
        return new MeasurePlot(
                "Bytes for control",
                "peers",
                "bytes a second",
                MeasurePlot.Scale.LINEAR,
                List.of(
                        new MeasurePlot.Series(
                                "sent and received",
                                costs.stream().map(cost -> (double) cost.peers()).toList(),
                                costs.stream().map(ControlCost::bytesPerSecond).toList())));
    }
}
