package io.masticpond.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.membership.MembershipTimings;
import io.masticpond.core.membership.OwnState;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.protocol.generated.HeadroomEntry;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests of membership services that communicate over real links on loopback. */
class MembershipServiceTest {

    private static final InstanceId A = new InstanceId("a");
    private static final InstanceId B = new InstanceId("b");
    private static final InstanceId C = new InstanceId("c");

    /**
     * Timeout that only bounds a hang; the clock of the services advances only when the test
     * advances it.
     */
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final long SOCKET_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration MAXIMUM_HEARTBEAT_AGE = Duration.ofMillis(1_500);
    private static final int MAXIMUM_TICKS_TO_DETECT = 29;

    /** Capacity of the queue of the service. */
    private static final int QUEUE_CAPACITY = 4_096;

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    private final ListOnlyStore mStore = new ListOnlyStore();
    private final List<Node> mNodes = new ArrayList<>();

    /** Links and membership service of one instance. */
    private record Node(
            InstanceId id,
            String address,
            NettyInstanceLinks links,
            MembershipService service,
            Map<InstanceId, Long> heartbeatNanos) {

        MemberState stateOf(InstanceId other) {
            return service.view()
                    .member(other)
                    .map(member -> member.state())
                    .orElse(MemberState.EXPECTED);
        }
    }

    @AfterTry
    void close() {
        for (Node node : mNodes) {
            node.service().close();
            node.links().close();
        }
    }

    private Node start(InstanceId id, long run, List<String> seeds) {
        KeyRing keys =
                new KeyRing("k", Map.of("k", "0123456789abcdef".getBytes(StandardCharsets.UTF_8)));
        Incarnation incarnation = new Incarnation(id, run);
        NettyInstanceLinks links =
                new NettyInstanceLinks(incarnation, settingsWithLongTimeout(keys), mTime, run);
        InetSocketAddress bound = links.start();
        String address = "127.0.0.1:" + bound.getPort();
        MembershipService service =
                new MembershipService(
                        new OwnState(incarnation, new ZoneId("z1"), address, "", ""),
                        seeds,
                        MembershipTimings.DEFAULT,
                        links,
                        mStore,
                        new HybridLogicalClock(mTime),
                        Timeline.NONE,
                        mTime,
                        run);
        Node node = new Node(id, address, links, service, new ConcurrentHashMap<>());
        service.setHeadroomSupplier(
                () -> List.of(HeadroomEntry.newBuilder().setService("any").build()));
        service.addHeadroomListener(
                (from, entries) -> node.heartbeatNanos().put(from, mTime.monotonicNanos()));
        mNodes.add(node);
        service.start();
        return node;
    }

    private void listAllNodes() {
        mStore.setInstances(
                mNodes.stream()
                        .map(
                                node ->
                                        new ListedInstance(
                                                node.id(), new ZoneId("z1"), node.address(), false))
                        .toList());
    }

    /** Returns link settings with which a slow handshake does not fail. */
    private static LinkSettings settingsWithLongTimeout(KeyRing keys) {
        LinkSettings defaults = LinkSettings.of("127.0.0.1:0", keys);
        return new LinkSettings(
                defaults.listenAddress(),
                defaults.keys(),
                defaults.lowestVersion(),
                defaults.highestVersion(),
                defaults.maximumFrameBytes(),
                defaults.maximumQueuedBytes(),
                defaults.maximumCalls(),
                Duration.ofNanos(TIMEOUT_NANOS),
                defaults.minimumBackoff(),
                defaults.maximumBackoff(),
                defaults.busyInactivityTimeout(),
                defaults.idleInactivityTimeout());
    }

    /** Advances the clock until a condition holds. */
    private void awaitTrue(String description, BooleanSupplier condition) {
        await(description, condition, STEP);
    }

    private void await(String description, BooleanSupplier condition, Duration step) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(description).isLessThan(end);
            mTime.advance(step);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /**
     * Advances the clock by one tick, and waits until both instances have processed it and received
     * a heartbeat from each other.
     */
    private void tick(Node first, Node second) {
        mTime.advance(TICK);
        List<CompletableFuture<Void>> ticks =
                List.of(first.service().tickNow(), second.service().tickNow());
        ticks.forEach(each -> each.orTimeout(TIMEOUT_NANOS, TimeUnit.NANOSECONDS).join());
        awaitNow(
                "the first instance receives a heartbeat of the second",
                () -> hasRecentHeartbeat(first, second));
        awaitNow(
                "the second instance receives a heartbeat of the first",
                () -> hasRecentHeartbeat(second, first));
    }

    /** Waits for the sockets to report their events while the clock of the services is stopped. */
    private static void awaitSocketEvents(BooleanSupplier condition) {
        long end = System.nanoTime() + SOCKET_TIMEOUT_NANOS;
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /** Waits until a condition holds while the clock of the services is stopped. */
    private void awaitNow(String description, BooleanSupplier condition) {
        await(description, condition, Duration.ZERO);
    }

    private boolean hasRecentHeartbeat(Node node, Node other) {
        Long receivedNanos = node.heartbeatNanos().get(other.id());
        return receivedNanos != null
                && mTime.monotonicNanos() - receivedNanos <= MAXIMUM_HEARTBEAT_AGE.toNanos();
    }

    @Example
    void listedInstancesConnectAndDetectTermination() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of());
        Node c = start(C, 1, List.of());
        listAllNodes();
        awaitTrue("a sees c live", () -> a.stateOf(C) == MemberState.LIVE);
        awaitTrue("b sees c live", () -> b.stateOf(C) == MemberState.LIVE);
        awaitTrue("a has received a heartbeat of b", () -> hasRecentHeartbeat(a, b));
        awaitTrue("b has received a heartbeat of a", () -> hasRecentHeartbeat(b, a));
        c.links().close();
        BooleanSupplier detected =
                () ->
                        a.stateOf(C) == MemberState.DEAD
                                && b.stateOf(C) == MemberState.DEAD
                                && a.service().view().missing().isEmpty();
        for (int ticks = 0; !detected.getAsBoolean(); ticks++) {
            assertThat(ticks)
                    .as("ticks until c is known to be dead")
                    .isLessThan(MAXIMUM_TICKS_TO_DETECT);
            tick(a, b);
            awaitSocketEvents(detected);
        }
    }

    @Example
    void seedsSufficeWhilePlatformIsUnavailable() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        Node c = start(C, 1, List.of(a.address()));
        awaitTrue("c sees b live", () -> c.stateOf(B) == MemberState.LIVE);
        awaitTrue("b sees c live", () -> b.stateOf(C) == MemberState.LIVE);
        assertThat(c.service().view().live()).hasSize(3);
    }

    @Example
    void headroomIsReportedInHeartbeats() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        CountDownLatch received = new CountDownLatch(1);
        b.service()
                .setHeadroomSupplier(
                        () -> List.of(HeadroomEntry.newBuilder().setService("s").build()));
        a.service()
                .addHeadroomListener(
                        (from, entries) -> {
                            if (from.equals(B) && entries.get(0).getService().equals("s")) {
                                received.countDown();
                            }
                        });
        awaitTrue("a receives the headroom of b", () -> received.getCount() == 0);
    }

    /** Guards against a planned stop that no other instance learns of, as the queue was full. */
    @Example
    void plannedStopIsReportedWhenQueueIsFull() throws InterruptedException {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        awaitTrue("a sees b live", () -> a.stateOf(B) == MemberState.LIVE);
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        b.service()
                .addListener(
                        view -> {
                            blocked.countDown();
                            awaitUninterruptibly(release);
                        });
        b.service().configure(Configuration.EMPTY);
        awaitTrue("the event loop of b is blocked", () -> blocked.getCount() == 0);
        Thread leaving =
                new Thread(
                        () -> {
                            for (int i = 0; i <= QUEUE_CAPACITY; i++) {
                                b.service().setLeaving(i == QUEUE_CAPACITY);
                            }
                        });
        leaving.start();
        awaitNow(
                "the last call has returned or waits",
                () ->
                        leaving.getState() == Thread.State.TIMED_WAITING
                                || leaving.getState() == Thread.State.TERMINATED);
        release.countDown();
        leaving.join();
        awaitTrue("a sees b leaving", () -> a.stateOf(B) == MemberState.LEAVING);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Example
    void plannedStopIsReportedImmediately() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        awaitTrue("a sees b live", () -> a.stateOf(B) == MemberState.LIVE);
        b.service().setLeaving(true);
        awaitTrue("a sees b leaving", () -> a.stateOf(B) == MemberState.LEAVING);
        b.service().close();
        awaitTrue("a sees b dead", () -> a.stateOf(B) == MemberState.DEAD);
        assertThat(a.service().view().missing()).isEmpty();
    }
}
