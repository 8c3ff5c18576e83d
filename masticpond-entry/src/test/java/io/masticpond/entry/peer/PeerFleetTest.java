package io.masticpond.entry.peer;

import static io.masticpond.entry.peer.PeerSimulation.CLOCK;
import static io.masticpond.entry.peer.PeerSimulation.name;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/** Tests of many instances, each of which exchanges heartbeats with a few neighbors. */
class PeerFleetTest {

    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(25);
    private static final int MEASURED_SECONDS = 20;
    private static final long MAXIMUM_BYTES_PER_SECOND = 2000;

    private PeerSimulation converged(int count) {
        PeerSimulation simulation = new PeerSimulation().startAll(count);
        simulation.advance(CONVERGENCE_TIME);
        simulation.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(count));
        return simulation;
    }

    private static void assertTrafficIsBounded(PeerSimulation simulation) {
        simulation.mRuns.values().forEach(run -> run.mBytes = 0);
        simulation.advance(Duration.ofSeconds(MEASURED_SECONDS));
        for (PeerSimulation.Run run : simulation.mRuns.values()) {
            assertThat(run.mBytes / MEASURED_SECONDS).isLessThan(MAXIMUM_BYTES_PER_SECOND);
            assertThat(run.mLargest).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        }
    }

    @Example
    void eightyInstancesFindEachOtherWithBoundedTraffic() {
        assertTrafficIsBounded(converged(80));
    }

    @Example
    void fourHundredAndTenInstancesFindEachOtherWithBoundedTraffic() {
        assertTrafficIsBounded(converged(410));
    }

    @Example
    void terminationAndRestartOfOneReachAllSoon() {
        PeerSimulation simulation = converged(80);
        simulation.kill(40);
        simulation.advance(Duration.ofMillis(5300));
        simulation.mRuns.values().stream()
                .filter(run -> run.mRunning)
                .forEach(run -> assertThat(run.names()).hasSize(79));
        simulation.start(name(40), 40, CLOCK - 1);
        simulation.advance(Duration.ofSeconds(3));
        simulation.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(80));
    }

    @Example
    void plannedStopOfOneReachesAllAtOnce() {
        PeerSimulation simulation = converged(80);
        simulation.run(40).leave();
        simulation.advance(Duration.ofSeconds(1));
        for (PeerSimulation.Run run : simulation.mRuns.values()) {
            assertThat(run.view().alive().stream().filter(PeerInstance::ready)).hasSize(79);
        }
    }

    @Example
    void smallPartitionDetectsThatItIsCutOff() {
        PeerSimulation simulation = converged(80);
        simulation.mPath = (from, to) -> from.compareTo(name(4)) < 0 == to.compareTo(name(4)) < 0;
        simulation.advance(Duration.ofSeconds(6));
        assertThat(simulation.run(0).names().size()).isLessThanOrEqualTo(4);
        assertThat(simulation.run(50).names()).hasSize(76);
        simulation.mPath = (from, to) -> true;
        simulation.advance(Duration.ofSeconds(20));
        simulation.mRuns.values().forEach(run -> assertThat(run.names()).hasSize(80));
    }

    @Example
    void instanceUnreachableForOneNeighborStaysAliveForTheOthers() {
        PeerSimulation simulation = converged(80);
        String sender = name(40);
        String receiver =
                simulation.mRuns.keySet().stream()
                        .filter(id -> !id.equals(sender))
                        .filter(id -> isWatched(simulation, id, sender))
                        .findFirst()
                        .orElseThrow();
        simulation.mPath = (from, to) -> !(from.equals(sender) && to.equals(receiver));
        simulation.advance(Duration.ofSeconds(8));
        for (PeerSimulation.Run run : simulation.mRuns.values()) {
            boolean isReceiver = run.mInstance.id().value().equals(receiver);
            assertThat(run.names()).hasSize(isReceiver ? 79 : 80);
        }
    }

    private static boolean isWatched(PeerSimulation simulation, String by, String other) {
        return simulation
                .mRuns
                .get(by)
                .mExchange
                .isWatching(simulation.mRuns.get(other).mInstance.id());
    }
}
