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
 * Shows what the process spends on control, and the state of its rings; safe for all threads.
 *
 * @since 0.1
 */
public final class ControlMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private final Map<String, RingWatch> mRings = new ConcurrentHashMap<>();
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
        registerRings();
        registerCpu();
        registerMemory();
    }

    /**
     * Shows how many peers are alive.
     *
     * @param count the count, without this instance
     */
    public void updatePeerCount(int count) {
        mPeers.set(count);
    }

    /**
     * Watches a bounded ring; a ring of the same name is watched no longer.
     *
     * @param name the name of the ring, of a fixed set
     * @param refused counts the tasks that found it full
     * @param waiting counts the tasks in it
     */
    public void watchRing(String name, LongSupplier refused, IntSupplier waiting) {
        mRings.put(name, new RingWatch(refused, waiting));
    }

    /**
     * Watches the time line; must be called once at most.
     *
     * @param clock its clock
     * @param ring its events
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
     * Watches the links to other instances; must be called once at most.
     *
     * @param sent counts the bytes written for control
     * @param received counts the bytes read for control
     * @param lateAnswers counts the answers that nothing awaited any more
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
     * Watches the heartbeats that come in; must be called once at most.
     *
     * @param rejected counts those that were dropped, unreadable or with a ring full
     */
    public void watchHeartbeats(LongSupplier rejected) {
        CounterWithCallback.builder()
                .name("masticpond_heartbeats_rejected_total")
                .help("Heartbeats of other instances that were dropped.")
                .callback(callback -> callback.call((double) rejected.getAsLong()))
                .register(mRegistry);
    }

    private void registerRings() {
        CounterWithCallback.builder()
                .name("masticpond_ring_refusals_total")
                .help("Tasks that found a ring full and were refused or dropped.")
                .labelNames("ring")
                .callback(
                        callback ->
                                mRings.forEach(
                                        (name, ring) ->
                                                callback.call(
                                                        (double) ring.refused().getAsLong(), name)))
                .register(mRegistry);
        GaugeWithCallback.builder()
                .name("masticpond_ring_waiting")
                .help("Tasks that wait in a ring.")
                .labelNames("ring")
                .callback(
                        callback ->
                                mRings.forEach(
                                        (name, ring) ->
                                                callback.call(ring.waiting().getAsInt(), name)))
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

    /** The counts of one ring. */
    private record RingWatch(LongSupplier refused, IntSupplier waiting) {}
}
