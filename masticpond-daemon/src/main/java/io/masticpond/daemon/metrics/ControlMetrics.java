package io.masticpond.daemon.metrics;

import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.TimelineRing;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Metrics of the resources that the process uses for control, and of its bounded queues.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class ControlMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private final Map<String, QueueCounters> mQueues = new ConcurrentHashMap<>();
    private final ThreadCpuMeter mThreadCpuMeter = new ThreadCpuMeter();
    private final PrometheusRegistry mRegistry;
    private final Gauge mPeers;

    ControlMetrics(PrometheusRegistry registry) {
        mRegistry = registry;
        mPeers =
                Gauge.builder()
                        .name("masticpond_peers")
                        .help("Instances known to be alive, without this one.")
                        .register(registry);
        registerQueues();
        registerCpu();
        registerMemory();
    }

    /**
     * Updates the number of live peers.
     *
     * @param count the number of live peers, without this instance
     */
    public void updatePeerCount(int count) {
        mPeers.set(count);
    }

    /**
     * Registers a bounded queue, replacing any queue of the same name.
     *
     * @param name the name of the queue, which must be one of a fixed set because it is the value
     *     of a label
     * @param refused the supplier of the number of tasks that were refused because the queue was
     *     full
     * @param waiting the supplier of the number of queued tasks
     */
    public void watchQueue(String name, LongSupplier refused, IntSupplier waiting) {
        mQueues.put(name, new QueueCounters(refused, waiting));
    }

    /**
     * Registers the timeline. Must be called at most once.
     *
     * @param clock the clock of the timeline
     * @param ring the events of the timeline
     */
    public void watchTimeline(HybridLogicalClock clock, TimelineRing ring) {
        GaugeWithCallback.builder()
                .name("masticpond_hybrid_clock_lead_seconds")
                .help("How far hybrid times run ahead of the wall clock.")
                .callback(callback -> callback.call(clock.leadMillis() / MILLIS_PER_SECOND))
                .register(mRegistry);
        CounterWithCallback.builder()
                .name("masticpond_remote_times_rejected_total")
                .help("Hybrid times of peers that were too far ahead of the wall clock.")
                .callback(callback -> callback.call((double) clock.rejectedRemoteTimes()))
                .register(mRegistry);
        CounterWithCallback.builder()
                .name("masticpond_timeline_overwritten_total")
                .help("Events of the time line that newer ones have overwritten.")
                .callback(callback -> callback.call((double) ring.overwritten()))
                .register(mRegistry);
    }

    /**
     * Registers the links to other instances. Must be called at most once.
     *
     * @param sent the supplier of the number of bytes written for control
     * @param received the supplier of the number of bytes read for control
     * @param lateAnswers the supplier of the number of answers that arrived after their call had
     *     ended
     */
    public void watchLinks(LongSupplier sent, LongSupplier received, LongSupplier lateAnswers) {
        CounterWithCallback.builder()
                .name("masticpond_control_bytes_total")
                .help("Bytes sent and received on links for control.")
                .labelNames("direction")
                .callback(
                        callback -> {
                            callback.call((double) sent.getAsLong(), "sent");
                            callback.call((double) received.getAsLong(), "received");
                        })
                .register(mRegistry);
        CounterWithCallback.builder()
                .name("masticpond_late_answers_total")
                .help("Answers of other instances dropped since nothing awaited them any more.")
                .callback(callback -> callback.call((double) lateAnswers.getAsLong()))
                .register(mRegistry);
    }

    /**
     * Registers the received heartbeats. Must be called at most once.
     *
     * @param rejected the supplier of the number of heartbeats that were dropped because they were
     *     invalid or the queue was full
     */
    public void watchHeartbeats(LongSupplier rejected) {
        CounterWithCallback.builder()
                .name("masticpond_heartbeats_rejected_total")
                .help("Heartbeats of other instances that were dropped.")
                .callback(callback -> callback.call((double) rejected.getAsLong()))
                .register(mRegistry);
    }

    private void registerQueues() {
        CounterWithCallback.builder()
                .name("masticpond_ring_refusals_total")
                .help("Tasks that found a ring full and were refused or dropped.")
                .labelNames("ring")
                .callback(
                        callback ->
                                mQueues.forEach(
                                        (name, queue) ->
                                                callback.call(
                                                        (double) queue.refused().getAsLong(),
                                                        name)))
                .register(mRegistry);
        GaugeWithCallback.builder()
                .name("masticpond_ring_waiting")
                .help("Tasks that wait in a ring.")
                .labelNames("ring")
                .callback(
                        callback ->
                                mQueues.forEach(
                                        (name, queue) ->
                                                callback.call(queue.waiting().getAsInt(), name)))
                .register(mRegistry);
    }

    private void registerCpu() {
        CounterWithCallback.builder()
                .name("masticpond_cpu_seconds_total")
                .help("Processor time of threads, by what they work for.")
                .labelNames("role")
                .callback(
                        callback ->
                                mThreadCpuMeter
                                        .measure()
                                        .forEach(
                                                (role, nanos) ->
                                                        callback.call(
                                                                nanos / NANOS_PER_SECOND,
                                                                role.label())))
                .register(mRegistry);
    }

    private void registerMemory() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        GaugeWithCallback.builder()
                .name("masticpond_memory_bytes")
                .help("Memory used by the virtual machine.")
                .labelNames("area")
                .callback(
                        callback -> {
                            callback.call((double) memory.getHeapMemoryUsage().getUsed(), "heap");
                            callback.call(
                                    (double) memory.getNonHeapMemoryUsage().getUsed(), "non-heap");
                        })
                .register(mRegistry);
    }

    /** Suppliers of the counters of one bounded queue. */
    private record QueueCounters(LongSupplier refused, IntSupplier waiting) {}
}
