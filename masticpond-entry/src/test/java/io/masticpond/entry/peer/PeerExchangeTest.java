package io.masticpond.entry.peer;

import static io.masticpond.entry.peer.PeerSimulation.CLOCK;
import static io.masticpond.entry.peer.PeerSimulation.instance;
import static io.masticpond.entry.peer.PeerSimulation.name;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/** A few instances, all of which exchange heartbeats with each other. */
class PeerExchangeTest {

    private static final Duration SETTLED = Duration.ofSeconds(5);
    private static final Duration GONE = Duration.ofMillis(4300);

    private final PeerSimulation mWorld = new PeerSimulation();

    private List<String> names(int number) {
        return mWorld.run(number).names();
    }

    private PeerInstance seen(int by, int number) {
        return mWorld.run(by).view().alive().stream()
                .filter(i -> i.id().value().equals(name(number)))
                .findFirst()
                .orElseThrow();
    }

    @Example
    void instancesFindEachOtherBySeedsOfWhichOneIsStale() {
        mWorld.startAll(1);
        mWorld.start(name(2), 2, CLOCK);
        mWorld.start(name(5), 5, CLOCK);
        mWorld.start(name(6), 6, CLOCK);
        mWorld.pass(SETTLED);
        for (int number : List.of(0, 2, 5, 6)) {
            assertThat(names(number)).containsExactly(name(0), name(2), name(5), name(6));
        }
        assertThat(seen(5, 6).ready()).isTrue();
        assertThat(seen(5, 6).entry().port()).isEqualTo(8000);
    }

    @Example
    void listedInstancesFindEachOtherThoughAllSeedsAreStaleAndCountBeforeTheyAreHeard() {
        PeerSimulation.Run first = mWorld.start(name(5), 5, CLOCK);
        mWorld.start(name(6), 6, CLOCK);
        first.mExchange.known(List.of(instance(name(6), 6, 1), instance(name(9), 9, 1)), 1);
        assertThat(first.view().alive()).hasSize(1);
        assertThat(first.view().shareholders()).isGreaterThanOrEqualTo(3);
        mWorld.pass(SETTLED);
        assertThat(names(5)).containsExactly(name(5), name(6));
        assertThat(names(6)).containsExactly(name(5), name(6));
    }

    @Example
    void aSilentInstanceIsSuspectThenGoneYetHoldsItsShareForOneMinute() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.kill(3);
        mWorld.pass(Duration.ofMillis(2300));
        assertThat(names(0)).contains(name(3));
        assertThat(mWorld.run(0).view().suspects()).containsExactly(new InstanceId(name(3)));
        mWorld.pass(Duration.ofSeconds(1));
        assertThat(names(0)).doesNotContain(name(3));
        assertThat(mWorld.run(0).mHeard.stream().filter(("-" + name(3))::equals)).hasSize(1);
        assertThat(mWorld.run(0).view().shareholders()).isEqualTo(4);
        mWorld.pass(Duration.ofMinutes(1));
        assertThat(mWorld.run(0).view().shareholders()).isEqualTo(3);
    }

    @Example
    void oneLostHeartbeatMakesNobodySuspect() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.mPath = (from, to) -> !from.equals(name(3));
        mWorld.pass(Duration.ofSeconds(1));
        mWorld.mPath = (from, to) -> true;
        for (int step = 0; step < 20; step++) {
            mWorld.pass(Duration.ofMillis(100));
            assertThat(mWorld.run(0).view().suspects()).isEmpty();
        }
    }

    @Example
    void aLeavingInstanceIsNotReadyAtOnceAndHoldsNoShareOnceItIsSilent() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.run(3).leave();
        mWorld.pass(Duration.ofMillis(50));
        assertThat(seen(0, 3).ready()).isFalse();
        assertThat(mWorld.run(0).view().shareholders()).isEqualTo(4);
        mWorld.kill(3);
        mWorld.pass(GONE);
        assertThat(mWorld.run(0).view().shareholders()).isEqualTo(3);
        assertThat(mWorld.run(0).mHeard).contains("left " + name(3));
    }

    @Example
    void aRestartWithLowerClockGoesAboveTheRunBefore() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.run(3).leave();
        mWorld.pass(Duration.ofMillis(50));
        mWorld.kill(3);
        mWorld.pass(Duration.ofMillis(500));
        mWorld.start(name(3), 3, CLOCK - 60_000);
        mWorld.pass(Duration.ofSeconds(2));
        assertThat(seen(0, 3).incarnation()).isEqualTo(CLOCK + 1);
        assertThat(seen(0, 3).ready()).isTrue();
        assertThat(names(3)).hasSize(4);
    }

    @Example
    void aHeartbeatOfAnEarlierRunChangesNothing() {
        mWorld.startAll(2).pass(SETTLED);
        PeerInstance old = instance(name(1), 1, CLOCK - 5);
        PeerUpdate news =
                new PeerUpdate(
                        old.id(),
                        old.incarnation(),
                        900,
                        0,
                        PeerUpdate.State.LEAVING,
                        java.util.Optional.of(PeerPlace.of(old)));
        PeerMessage late = new PeerMessage(PeerMessage.Kind.HEARTBEAT, news, "", List.of());
        mWorld.run(0).mExchange.receive(late, old.internal(), SETTLED.toNanos() + 1);
        assertThat(seen(0, 1).incarnation()).isEqualTo(CLOCK);
        assertThat(seen(0, 1).ready()).isTrue();
    }

    @Example
    void aPathThatIsCutOneWayCountsByWhatIsHeard() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.mPath = (from, to) -> !(from.equals(name(0)) && to.equals(name(1)));
        mWorld.pass(GONE);
        assertThat(names(1)).doesNotContain(name(0));
        assertThat(names(0)).contains(name(1));
        assertThat(names(2)).hasSize(4);
        mWorld.mPath = (from, to) -> true;
        mWorld.pass(Duration.ofSeconds(2));
        assertThat(names(1)).hasSize(4);
    }

    @Example
    void bothSidesOfOneCutKeepTheirOwnAndJoinAgainAfterMinutes() {
        mWorld.startAll(6).pass(SETTLED);
        mWorld.mPath = (from, to) -> from.compareTo(name(3)) < 0 == to.compareTo(name(3)) < 0;
        mWorld.pass(Duration.ofMinutes(3));
        assertThat(names(0)).containsExactly(name(0), name(1), name(2));
        assertThat(names(5)).containsExactly(name(3), name(4), name(5));
        mWorld.mPath = (from, to) -> true;
        mWorld.pass(Duration.ofSeconds(6));
        assertThat(names(0)).hasSize(6);
    }

    @Example
    void aNewerInstanceTakesTheAddressOfOneThatIsGone() {
        mWorld.startAll(4).pass(SETTLED);
        mWorld.kill(3);
        mWorld.start("edge-new", 3, CLOCK + 9000);
        mWorld.pass(Duration.ofSeconds(2));
        assertThat(names(0)).containsExactly(name(0), name(1), name(2), "edge-new");
        assertThat(mWorld.run(0).view().shareholders()).isEqualTo(4);
    }

    @Example
    void afterItsOwnPauseOthersHaveTimeForOneMoreHeartbeat() {
        mWorld.startAll(3).pass(SETTLED);
        PeerExchange paused = mWorld.run(0).mExchange;
        long later = SETTLED.plusSeconds(20).toNanos();
        paused.tick(later);
        assertThat(paused.snapshot(later).alive()).hasSize(3);
        long silent = later + Duration.ofMillis(1800).toNanos();
        paused.evaluate(silent);
        assertThat(paused.snapshot(silent).alive()).hasSize(1);
    }

    @Example
    void lossOfOneTenthOfAllDatagramsLosesFewAndNobodyForLong() {
        mWorld.startAll(10).pass(SETTLED);
        mWorld.mLoss = 0.1;
        mWorld.pass(Duration.ofSeconds(30));
        long lost =
                mWorld.mRuns.values().stream()
                        .flatMap(run -> run.mHeard.stream())
                        .filter(event -> event.startsWith("-"))
                        .count();
        assertThat(lost).isLessThan(10);
        mWorld.mLoss = 0;
        mWorld.pass(SETTLED);
        mWorld.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(10));
    }
}
