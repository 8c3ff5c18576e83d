package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Guards against callers with their usual demand being refused as if they sent a burst, and against
 * a burst that passes for usual demand.
 */
class BaselineDemandTest {

    private static final double SECOND = 1e9;

    private BaselineDemand mDemand;
    private double mNow;
    private int mExcess;

    @BeforeTry
    void start() {
        mDemand = new BaselineDemand();
        mNow = SECOND;
        mExcess = 0;
    }

    /** Users accept that one request in 50 fails, so fluctuation may refuse no more. */
    @Property(seed = "1", tries = 40, shrinking = ShrinkingMode.OFF)
    void usualFluctuationIsNoExcess(
            @ForAll Random random, @ForAll @DoubleRange(min = 0.3, max = 120) double perSecond) {
        int sent = send(random, perSecond, 600, 0);
        assertThat(mExcess).isLessThanOrEqualTo(sent / 50);
    }

    /** An instance with few requests per second must also notice a burst within a second. */
    @Property(seed = "2", generation = GenerationMode.EXHAUSTIVE, shrinking = ShrinkingMode.OFF)
    void burstIsExcessWithinOneSecond(@ForAll @IntRange(min = 2, max = 40) int perSecond) {
        Random random = new Random(perSecond);
        send(random, perSecond, 20, 0);
        send(random, 8 * perSecond, 1, 0);
        mExcess = 0;
        int sent = send(random, 8 * perSecond, 3, 0);
        assertThat(mExcess).isGreaterThan(sent / 2);
    }

    /** The usual demand of a group that sends a burst is not refused with the burst. */
    @Example
    void usualPartOfBurstIsNoExcess() {
        Random random = new Random(3);
        send(random, 10, 20, 0);
        int sent = send(random, 80, 5, 0);
        assertThat(sent - mExcess).isBetween(5 * 10, 5 * 20);
    }

    /** A burst that lasts must not become the usual demand before it ends. */
    @Example
    void burstHardlyRaisesTheBaseline() {
        Random random = new Random(4);
        send(random, 10, 20, 0);
        send(random, 80, 8, 0);
        assertThat(mDemand.perSecond((long) mNow)).isLessThan(2 * 10);
    }

    /** A group that was idle, or is new, may send as much as the others usually do. */
    @Example
    void demandUpToThatOfTheOthersIsNoExcess() {
        Random random = new Random(5);
        send(random, 0.2, 30, 10);
        send(random, 10, 20, 10);
        assertThat(mExcess).isLessThanOrEqualTo(2);
    }

    /** The clients of an instance that stopped double the demand of all groups at the others. */
    @Example
    void growthOfAllGroupsIsNoExcess() {
        InstanceBaseline baseline =
                InstanceBaseline.of(List.of(demand(10, 22), demand(3, 6), demand(30, 60)));
        assertThat(baseline.growth()).isBetween(1.9, 2.1);
        InstanceBaseline burst =
                InstanceBaseline.of(List.of(demand(10, 80), demand(3, 3), demand(30, 30)));
        assertThat(burst.growth()).isEqualTo(1);
        assertThat(burst.usualPart()).isBetween(0.3, 0.4);
    }

    private static InstanceBaseline.GroupDemand demand(double usual, double current) {
        return new InstanceBaseline.GroupDemand(usual, current, 1);
    }

    /** Sends requests at random times; returns their number. */
    private int send(Random random, double perSecond, double seconds, double minimumPerSecond) {
        double end = mNow + seconds * SECOND;
        int sent = 0;
        while (true) {
            mNow += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
            if (mNow >= end) {
                mNow = end;
                return sent;
            }
            mExcess += mDemand.arrived(1, minimumPerSecond, (long) mNow) ? 0 : 1;
            sent++;
        }
    }
}
