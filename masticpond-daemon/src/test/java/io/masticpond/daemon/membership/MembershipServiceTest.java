package io.masticpond.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

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

/** Duties that talk over real links on loopback. */
class MembershipServiceTest {

    private static final InstanceId A = new InstanceId("a");
    private static final InstanceId B = new InstanceId("b");
    private static final InstanceId C = new InstanceId("c");

    /** Only bounds a hang: time passes for the duties only as the test lets it. */
    private static final long LONGEST_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration LONGEST_BEAT = Duration.ofMillis(1_500);
    private static final int TICKS_TO_NOTICE = 29;

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    private final ListOnlyStore mStore = new ListOnlyStore();
    private final List<Node> mNodes = new ArrayList<>();

    /** One instance: its links and its duty. */
    private record Node(
            InstanceId id,
            String address,
            NettyInstanceLinks links,
            MembershipService duty,
            Map<InstanceId, Long> heardNanos) {

        MemberState stateOf(InstanceId other) {
            return duty.view()
                    .member(other)
                    .map(member -> member.state())
                    .orElse(MemberState.EXPECTED);
        }
    }

    @AfterTry
    void close() {
        for (Node node : mNodes) {
            node.duty().close();
            node.links().close();
        }
    }

    private Node start(InstanceId id, long run, List<String> seeds) {
        KeyRing keys =
                new KeyRing("k", Map.of("k", "0123456789abcdef".getBytes(StandardCharsets.UTF_8)));
        Incarnation incarnation = new Incarnation(id, run);
        NettyInstanceLinks links = new NettyInstanceLinks(incarnation, patient(keys), mTime, run);
        InetSocketAddress bound = links.start();
        String address = "127.0.0.1:" + bound.getPort();
        MembershipService duty =
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
        Node node = new Node(id, address, links, duty, new ConcurrentHashMap<>());
        duty.setHeadroomSupplier(
                () -> List.of(HeadroomEntry.newBuilder().setService("any").build()));
        duty.addHeadroomListener(
                (from, entries) -> node.heardNanos().put(from, mTime.monotonicNanos()));
        mNodes.add(node);
        duty.start();
        return node;
    }

    private void list() {
        mStore.list(
                mNodes.stream()
                        .map(
                                node ->
                                        new ListedInstance(
                                                node.id(), new ZoneId("z1"), node.address(), false))
                        .toList());
    }

    /** Gives settings of links with which a slow handshake is no failure. */
    private static LinkSettings patient(KeyRing keys) {
        LinkSettings normal = LinkSettings.of("127.0.0.1:0", keys);
        return new LinkSettings(
                normal.listenAddress(),
                normal.keys(),
                normal.lowestVersion(),
                normal.highestVersion(),
                normal.maximumFrameBytes(),
                normal.maximumQueuedBytes(),
                normal.maximumCalls(),
                Duration.ofNanos(LONGEST_NANOS),
                normal.minimumBackoff(),
                normal.maximumBackoff(),
                normal.busyInactivityTimeout(),
                normal.idleInactivityTimeout());
    }

    /** Lets time pass until something holds. */
    private void awaitTrue(String what, BooleanSupplier condition) {
        await(what, condition, STEP);
    }

    private void await(String what, BooleanSupplier condition, Duration step) {
        long end = System.nanoTime() + LONGEST_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            mTime.advance(step);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /** Lets one tick pass for both, and waits until both have acted on it and heard each other. */
    private void tick(Node first, Node second) {
        mTime.advance(TICK);
        List<CompletableFuture<Void>> ticks =
                List.of(first.duty().tickNow(), second.duty().tickNow());
        ticks.forEach(each -> each.orTimeout(LONGEST_NANOS, TimeUnit.NANOSECONDS).join());
        awaitNow("the first hears the second", () -> hasHeard(first, second));
        awaitNow("the second hears the first", () -> hasHeard(second, first));
    }

    /** Gives the sockets time to tell what happened at this instant of the duties. */
    private static void settle(BooleanSupplier condition) {
        long end = System.nanoTime() + SETTLE_NANOS;
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /** Waits until something holds while the time of the duties stands still. */
    private void awaitNow(String what, BooleanSupplier condition) {
        await(what, condition, Duration.ZERO);
    }

    private boolean hasHeard(Node node, Node other) {
        Long heard = node.heardNanos().get(other.id());
        return heard != null && mTime.monotonicNanos() - heard <= LONGEST_BEAT.toNanos();
    }

    @Example
    void listedInstancesFindEachOtherAndNoticeOneDeath() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of());
        Node c = start(C, 1, List.of());
        list();
        awaitTrue("a sees c live", () -> a.stateOf(C) == MemberState.LIVE);
        awaitTrue("b sees c live", () -> b.stateOf(C) == MemberState.LIVE);
        awaitTrue("a has heard b", () -> hasHeard(a, b));
        awaitTrue("b has heard a", () -> hasHeard(b, a));
        c.links().close();
        BooleanSupplier noticed =
                () ->
                        a.stateOf(C) == MemberState.DEAD
                                && b.stateOf(C) == MemberState.DEAD
                                && a.duty().view().missing().isEmpty();
        for (int ticks = 0; !noticed.getAsBoolean(); ticks++) {
            assertThat(ticks).as("ticks until c is known to be dead").isLessThan(TICKS_TO_NOTICE);
            tick(a, b);
            settle(noticed);
        }
    }

    @Example
    void seedsAreEnoughWhileThePlatformIsAway() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        Node c = start(C, 1, List.of(a.address()));
        awaitTrue("c sees b live", () -> c.stateOf(B) == MemberState.LIVE);
        awaitTrue("b sees c live", () -> b.stateOf(C) == MemberState.LIVE);
        assertThat(c.duty().view().live()).hasSize(3);
    }

    @Example
    void headroomComesWithHeartbeats() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        CountDownLatch told = new CountDownLatch(1);
        b.duty()
                .setHeadroomSupplier(
                        () -> List.of(HeadroomEntry.newBuilder().setService("s").build()));
        a.duty()
                .addHeadroomListener(
                        (from, entries) -> {
                            if (from.equals(B) && entries.get(0).getService().equals("s")) {
                                told.countDown();
                            }
                        });
        awaitTrue("a is told", () -> told.getCount() == 0);
    }

    @Example
    void aPlannedStopIsSeenAtOnce() {
        Node a = start(A, 1, List.of());
        Node b = start(B, 1, List.of(a.address()));
        awaitTrue("a sees b live", () -> a.stateOf(B) == MemberState.LIVE);
        b.duty().setLeaving(true);
        awaitTrue("a sees b leaving", () -> a.stateOf(B) == MemberState.LEAVING);
        b.duty().close();
        awaitTrue("a sees b gone", () -> a.stateOf(B) == MemberState.DEAD);
        assertThat(a.duty().view().missing()).isEmpty();
    }
}
