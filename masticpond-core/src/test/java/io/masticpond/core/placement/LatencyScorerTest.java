package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import java.util.OptionalInt;
import net.jqwik.api.Example;

/** Tests the choice by expected latency, in comparison with the choice by penalties. */
class LatencyScorerTest {

    private static final double SLOW_PART = 0.15;

    /** Guards against a choice by latency that changes anything for servers without the time. */
    @Example
    void choiceIsUnchangedForServersThatReportThreeFields() {
        SlowServerFleet automatic =
                new SlowServerFleet(1, LoadControlMode.AUTOMATIC, false, SLOW_PART, 800);
        SlowServerFleet off = new SlowServerFleet(1, LoadControlMode.OFF, false, SLOW_PART, 800);
        assertThat(automatic.play(250, 10)).isEqualTo(off.play(250, 10));
        assertThat(automatic.movedPart()).isEqualTo(off.movedPart());
    }

    /** Guards against requests that wait at slow servers, and against keys that move too easily. */
    @Example
    void serversSlowInTurns() {
        double off = inTimeParts(LoadControlMode.OFF);
        double automatic = inTimeParts(LoadControlMode.AUTOMATIC);
        assertThat(automatic).isGreaterThan(off + 0.005);
    }

    private static double inTimeParts(LoadControlMode mode) {
        double sum = 0;
        for (int seed = 0; seed < 4; seed++) {
            for (int objects : new int[] {800, 2_000}) {
                SlowServerFleet fleet = new SlowServerFleet(seed, mode, true, SLOW_PART, objects);
                fleet.play(220, 20);
                sum += fleet.inTimePart();
            }
        }
        return sum / 8;
    }

    /** Guards against keys that move, and miss, although no server is slow. */
    @Example
    void keysStayWhileServersAreAlike() {
        SlowServerFleet fleet = new SlowServerFleet(1, LoadControlMode.AUTOMATIC, true, 0, 800);
        fleet.play(220, 20);
        assertThat(fleet.movedPart()).isLessThan(0.01);
    }

    /** Guards against a restarted server that is believed to be as slow as its previous run. */
    @Example
    void speedOfTerminatedRunIsDropped() {
        ServerTable servers = SlowServerFleet.table(0);
        ServerLoad previous = servers.of(SlowServerFleet.SERVICE).get(0);
        previous.speed().record(250, 0);
        servers.update(SlowServerFleet.snapshot(1), 0);
        ServerLoad current = servers.of(SlowServerFleet.SERVICE).get(0);
        assertThat(current.speed().isReported()).isFalse();
        RequestPlacer placer =
                new RequestPlacer(
                        new ServerChooser(
                                PlacementSettings.DEFAULT,
                                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT),
                                new LoadControlActivation(LoadControlSettings.DEFAULT)),
                        LoadGate.OPEN);
        placer.reported(previous, new ReportedLoad(1, 0, 6, OptionalInt.of(250)), 0);
        assertThat(placer.chooser().speeds().of(SlowServerFleet.SERVICE)).isNull();
    }
}
