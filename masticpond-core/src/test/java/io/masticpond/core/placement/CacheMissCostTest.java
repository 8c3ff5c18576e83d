package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import net.jqwik.api.Example;

/**
 * Verifies that the cost follows the share of slow answers, regardless of the time of quick ones.
 */
class CacheMissCostTest {

    private static final double ASSUMED = 1.5;

    private final CacheMissCost mCost = new CacheMissCost(ASSUMED);

    @Example
    void replacesAssumedCostGraduallyByMeasuredCost() {
        assertThat(mCost.value()).isEqualTo(ASSUMED);
        answers(32, 100, 100);
        assertThat(mCost.value()).isEqualTo(ASSUMED / 2, within(0.01));
        answers(32, 100, 100);
        assertThat(mCost.value()).isZero();
    }

    @Example
    void weighsSlowAnswersByTheirExcessTime() {
        answers(64, 100, 400);
        assertThat(mCost.value()).isEqualTo(1.5, within(0.01));
        answers(64, 1_000, 1_900);
        assertThat(mCost.value()).isZero();
    }

    private void answers(int count, long even, long odd) {
        for (int each = 0; each < count; each++) {
            mCost.recordAnswerTime(each % 2 == 0 ? even : odd);
        }
    }
}
