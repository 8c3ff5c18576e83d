package io.masticpond.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.RegionId;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests that requests leave a fifth of the bandwidth between regions to other traffic. */
class LinkUsageTest {

    private static final RegionId FAR = new RegionId("far");
    private static final int MEGABITS = 200;
    private static final int INSTANCES = 8;

    private final LinkUsage mUsage = new LinkUsage();
    private long mNanos = 1;

    private void run(int seconds, int megabits, double regionMegabits) {
        for (int each = 0; each < 4 * seconds; each++) {
            mNanos += TimeUnit.MILLISECONDS.toNanos(250);
            double factor = RegionRoom.factor(mUsage.steps().getOrDefault(FAR, 0));
            double bytes = regionMegabits * factor * 1e6 / 8 / 4 / INSTANCES;
            mUsage.record(FAR, (long) bytes / 10, (long) bytes);
            mUsage.update(INSTANCES, megabits, mNanos);
        }
    }

    private double used() {
        return mUsage.bytesPerSecond(FAR) * 8 / 1e6 / MEGABITS;
    }

    /** Guards against a full link, and against weights that swing around its bandwidth. */
    @Example
    void responsesThatExceedLinkLowerWeightUntilTheyFit() {
        run(60, MEGABITS, 400);
        assertThat(used()).isBetween(0.55, 0.85);
        int steps = mUsage.steps().get(FAR);
        run(60, MEGABITS, 400);
        assertThat(mUsage.steps()).containsEntry(FAR, steps);
        run(60, MEGABITS, 50);
        assertThat(mUsage.steps()).containsEntry(FAR, 0);
    }

    /** Guards against lowered weights where no bandwidth is configured. */
    @Example
    void unlimitedLinkIsNotLowered() {
        run(60, 0, 10_000);
        assertThat(mUsage.steps()).containsEntry(FAR, 0);
    }

    /** Guards against a limit that stays in force after its setting is removed. */
    @Example
    void weightReturnsWhenLimitIsRemoved() {
        run(30, MEGABITS, 800);
        assertThat(mUsage.steps().get(FAR)).isPositive();
        run(60, 0, 800);
        assertThat(mUsage.steps()).containsEntry(FAR, 0);
    }
}
