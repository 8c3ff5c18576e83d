package io.masticpond.entry.peer;

import static io.masticpond.entry.peer.PeerSimulation.CLOCK;
import static io.masticpond.entry.peer.PeerSimulation.instance;
import static io.masticpond.entry.peer.PeerSimulation.name;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Tests of a few instances, all of which exchange heartbeats with each other. */
class PeerExchangeTest {

    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(5);
    private static final Duration UNREACHABLE_TIME = Duration.ofMillis(4300);

    private final PeerSimulation mSimulation = new PeerSimulation();

    private List<String> names(int number) {
        return mSimulation.run(number).names();
    }

    private PeerInstance seen(int by, int number) {
        return mSimulation.run(by).view().alive().stream()
                .filter(i -> i.id().value().equals(name(number)))
                .findFirst()
                .orElseThrow();
    }

    @Example
    void instancesFindEachOtherBySeedsThoughOneIsStale() {
        mSimulation.startAll(1);
        mSimulation.start(name(2), 2, CLOCK);
        mSimulation.start(name(5), 5, CLOCK);
        mSimulation.start(name(6), 6, CLOCK);
        mSimulation.advance(CONVERGENCE_TIME);
        for (int number : List.of(0, 2, 5, 6)) {
            assertThat(names(number)).containsExactly(name(0), name(2), name(5), name(6));
        }
        assertThat(seen(5, 6).ready()).isTrue();
        assertThat(seen(5, 6).entry().port()).isEqualTo(8000);
    }

    @Example
    void listedInstancesAreCountedAtOnceAndFindEachOtherThoughAllSeedsAreStale() {
        PeerSimulation.Run first = mSimulation.start(name(5), 5, CLOCK);
        mSimulation.start(name(6), 6, CLOCK);
        first.mExchange.addKnown(List.of(instance(name(6), 6, 1), instance(name(9), 9, 1)), 1);
        assertThat(first.view().alive()).hasSize(1);
        assertThat(first.view().shareholders()).isGreaterThanOrEqualTo(3);
        mSimulation.advance(CONVERGENCE_TIME);
        assertThat(names(5)).containsExactly(name(5), name(6));
        assertThat(names(6)).containsExactly(name(5), name(6));
    }

    @Example
    void unresponsiveInstanceIsSuspectThenUnreachableAndKeepsItsShareForOneMinute() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.kill(3);
        mSimulation.advance(Duration.ofMillis(2300));
        assertThat(names(0)).contains(name(3));
        assertThat(mSimulation.run(0).view().suspects()).containsExactly(new InstanceId(name(3)));
        mSimulation.advance(Duration.ofSeconds(1));
        assertThat(names(0)).doesNotContain(name(3));
        assertThat(mSimulation.run(0).mNotifications.stream().filter(("-" + name(3))::equals))
                .hasSize(1);
        assertThat(mSimulation.run(0).view().shareholders()).isEqualTo(4);
        mSimulation.advance(Duration.ofMinutes(1));
        assertThat(mSimulation.run(0).view().shareholders()).isEqualTo(3);
    }

    @Example
    void oneLostHeartbeatMakesNoInstanceSuspect() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.mPath = (from, to) -> !from.equals(name(3));
        mSimulation.advance(Duration.ofSeconds(1));
        mSimulation.mPath = (from, to) -> true;
        for (int step = 0; step < 20; step++) {
            mSimulation.advance(Duration.ofMillis(100));
            assertThat(mSimulation.run(0).view().suspects()).isEmpty();
        }
    }

    @Example
    void leavingInstanceIsNotReadyAtOnceAndHoldsNoShareOnceUnresponsive() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.run(3).leave();
        mSimulation.advance(Duration.ofMillis(50));
        assertThat(seen(0, 3).ready()).isFalse();
        assertThat(mSimulation.run(0).view().shareholders()).isEqualTo(4);
        mSimulation.kill(3);
        mSimulation.advance(UNREACHABLE_TIME);
        assertThat(mSimulation.run(0).view().shareholders()).isEqualTo(3);
        assertThat(mSimulation.run(0).mNotifications).contains("left " + name(3));
    }

    @Example
    void restartWithLowerClockTakesHigherIncarnation() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.run(3).leave();
        mSimulation.advance(Duration.ofMillis(50));
        mSimulation.kill(3);
        mSimulation.advance(Duration.ofMillis(500));
        mSimulation.start(name(3), 3, CLOCK - 60_000);
        mSimulation.advance(Duration.ofSeconds(2));
        assertThat(seen(0, 3).incarnation()).isEqualTo(CLOCK + 1);
        assertThat(seen(0, 3).ready()).isTrue();
        assertThat(names(3)).hasSize(4);
    }

    @Example
    void heartbeatOfAnEarlierRunChangesNothing() {
        mSimulation.startAll(2).advance(CONVERGENCE_TIME);
        PeerInstance old = instance(name(1), 1, CLOCK - 5);
        PeerUpdate update =
                new PeerUpdate(
                        old.id(),
                        old.incarnation(),
                        900,
                        0,
                        PeerUpdate.State.LEAVING,
                        Optional.of(PeerPlace.of(old)));
        PeerMessage late = new PeerMessage(PeerMessage.Kind.HEARTBEAT, update, "", List.of());
        mSimulation.run(0).mExchange.receive(late, old.internal(), CONVERGENCE_TIME.toNanos() + 1);
        assertThat(seen(0, 1).incarnation()).isEqualTo(CLOCK);
        assertThat(seen(0, 1).ready()).isTrue();
    }

    /**
     * Guards against a malformed datagram that removes the record of its own sender, whose
     * heartbeat then fails.
     */
    @Example
    void datagramThatGivesTheAddressOfItsSenderToAnotherInstanceRemovesNoRecord() {
        mSimulation.startAll(2).advance(CONVERGENCE_TIME);
        PeerInstance sender = instance(name(1), 1, CLOCK);
        PeerInstance other = instance("edge-other", 1, CLOCK + 1);
        PeerMessage message =
                new PeerMessage(
                        PeerMessage.Kind.HEARTBEAT,
                        update(sender, 900),
                        "",
                        List.of(update(other, 1)));
        long now = CONVERGENCE_TIME.toNanos() + 1;
        mSimulation.run(0).mExchange.receive(message, sender.internal(), now);
        assertThat(names(0)).containsExactly(name(0), name(1));
    }

    private static PeerUpdate update(PeerInstance instance, long sequence) {
        return new PeerUpdate(
                instance.id(),
                instance.incarnation(),
                sequence,
                0,
                PeerUpdate.State.READY,
                Optional.of(PeerPlace.of(instance)));
    }

    @Example
    void oneWayPartitionAffectsOnlyTheReceivingSide() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.mPath = (from, to) -> !(from.equals(name(0)) && to.equals(name(1)));
        mSimulation.advance(UNREACHABLE_TIME);
        assertThat(names(1)).doesNotContain(name(0));
        assertThat(names(0)).contains(name(1));
        assertThat(names(2)).hasSize(4);
        mSimulation.mPath = (from, to) -> true;
        mSimulation.advance(Duration.ofSeconds(2));
        assertThat(names(1)).hasSize(4);
    }

    @Example
    void bothSidesOfPartitionStayAliveAndRejoinAfterMinutes() {
        mSimulation.startAll(6).advance(CONVERGENCE_TIME);
        mSimulation.mPath = (from, to) -> from.compareTo(name(3)) < 0 == to.compareTo(name(3)) < 0;
        mSimulation.advance(Duration.ofMinutes(3));
        assertThat(names(0)).containsExactly(name(0), name(1), name(2));
        assertThat(names(5)).containsExactly(name(3), name(4), name(5));
        mSimulation.mPath = (from, to) -> true;
        mSimulation.advance(Duration.ofSeconds(6));
        assertThat(names(0)).hasSize(6);
    }

    @Example
    void newerInstanceReplacesTerminatedOneAtItsAddress() {
        mSimulation.startAll(4).advance(CONVERGENCE_TIME);
        mSimulation.kill(3);
        mSimulation.start("edge-new", 3, CLOCK + 9000);
        mSimulation.advance(Duration.ofSeconds(2));
        assertThat(names(0)).containsExactly(name(0), name(1), name(2), "edge-new");
        assertThat(mSimulation.run(0).view().shareholders()).isEqualTo(4);
    }

    @Example
    void othersHaveTimeForOneMoreHeartbeatAfterOwnPause() {
        mSimulation.startAll(3).advance(CONVERGENCE_TIME);
        PeerExchange paused = mSimulation.run(0).mExchange;
        long later = CONVERGENCE_TIME.plusSeconds(20).toNanos();
        paused.tick(later);
        assertThat(paused.snapshot(later).alive()).hasSize(3);
        long inactive = later + Duration.ofMillis(1800).toNanos();
        paused.evaluate(inactive);
        assertThat(paused.snapshot(inactive).alive()).hasSize(1);
    }

    @Example
    void lossOfOneTenthOfDatagramsMakesFewInstancesUnreachableAndNoneForLong() {
        mSimulation.startAll(10).advance(CONVERGENCE_TIME);
        mSimulation.mLoss = 0.1;
        mSimulation.advance(Duration.ofSeconds(30));
        long lost =
                mSimulation.mRuns.values().stream()
                        .flatMap(run -> run.mNotifications.stream())
                        .filter(event -> event.startsWith("-"))
                        .count();
        assertThat(lost).isLessThan(10);
        mSimulation.mLoss = 0;
        mSimulation.advance(CONVERGENCE_TIME);
        mSimulation.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(10));
    }
}
