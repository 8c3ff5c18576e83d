package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.loadcontrol.LoadControlMode;
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
}
