package io.masticpond.entry.peer;

import static io.masticpond.entry.peer.PeerSimulation.CLOCK;
import static io.masticpond.entry.peer.PeerSimulation.name;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/** Many instances, each of which exchanges heartbeats with a few. */
class PeerFleetTest {

    private static final Duration SETTLED = Duration.ofSeconds(25);
    private static final int WATCHED_SECONDS = 20;
    private static final long MOST_BYTES_A_SECOND = 2000;

    private PeerSimulation settled(int count) {
        PeerSimulation world = new PeerSimulation().startAll(count);
        world.pass(SETTLED);
        world.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(count));
        return world;
    }

    private static void costsLittle(PeerSimulation world) {
        world.mRuns.values().forEach(run -> run.mBytes = 0);
        world.pass(Duration.ofSeconds(WATCHED_SECONDS));
        for (PeerSimulation.Run run : world.mRuns.values()) {
            assertThat(run.mBytes / WATCHED_SECONDS).isLessThan(MOST_BYTES_A_SECOND);
            assertThat(run.mLargest).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        }
    }

    @Example
    void eightyFindEachOtherAndCostLittle() {
        costsLittle(settled(80));
    }

    @Example
    void fourHundredAndTenFindEachOtherAndCostLittle() {
        costsLittle(settled(410));
    }

    @Example
    void allHearSoonThatOneIsKilledAndThatItIsBack() {
        PeerSimulation world = settled(80);
        world.kill(40);
        world.pass(Duration.ofMillis(5300));
        world.mRuns.values().stream()
                .filter(run -> run.mRunning)
                .forEach(run -> assertThat(run.names()).hasSize(79));
        world.start(name(40), 40, CLOCK - 1);
        world.pass(Duration.ofSeconds(3));
        world.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(80));
    }

    @Example
    void allHearAtOnceThatOneLeaves() {
        PeerSimulation world = settled(80);
        world.run(40).leave();
        world.pass(Duration.ofSeconds(1));
        for (PeerSimulation.Run run : world.mRuns.values()) {
            assertThat(run.view().alive().stream().filter(PeerInstance::ready)).hasSize(79);
        }
    }

    @Example
    void aFewThatAreCutOffKnowThatTheyAre() {
        PeerSimulation world = settled(80);
        world.mPath = (from, to) -> from.compareTo(name(4)) < 0 == to.compareTo(name(4)) < 0;
        world.pass(Duration.ofSeconds(6));
        assertThat(world.run(0).names().size()).isLessThanOrEqualTo(4);
        assertThat(world.run(50).names()).hasSize(76);
        world.mPath = (from, to) -> true;
        world.pass(Duration.ofSeconds(20));
        world.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(80));
    }

    @Example
    void oneWhoseHeartbeatsMissOneNeighborStaysAliveForTheRest() {
        PeerSimulation world = settled(80);
        String silenced = name(40);
        String deaf =
                world.mRuns.keySet().stream()
                        .filter(id -> !id.equals(silenced))
                        .filter(id -> isWatched(world, id, silenced))
                        .findFirst()
                        .orElseThrow();
        world.mPath = (from, to) -> !(from.equals(silenced) && to.equals(deaf));
        world.pass(Duration.ofSeconds(8));
        for (PeerSimulation.Run run : world.mRuns.values()) {
            boolean isDeaf = run.mInstance.id().value().equals(deaf);
            assertThat(run.names()).hasSize(isDeaf ? 79 : 80);
        }
    }

    private static boolean isWatched(PeerSimulation world, String by, String other) {
        return world.mRuns.get(by).mExchange.watches(world.mRuns.get(other).mInstance.id());
    }
}
