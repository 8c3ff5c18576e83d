package io.masticpond.core.speed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.masticpond.core.id.RouteId;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests what is learned from reported durations of work, and how long it is believed. */
class ServiceSpeedTest {

    private static final RouteId ROUTE = new RouteId("tariff-check");
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final ServiceSpeed mService = new ServiceSpeed();
    private final Random mRandom = new Random(5);

    /** Guards against a server that is avoided for long after it was slow. */
    @Example
    void slowdownReturnsToMeanOfServiceWithAge() {
        recordNormal(300);
        ServerSpeed server = new ServerSpeed();
        mService.record(server, 250, 0);
        assertThat(mService.expectedSlowdown(server, 0)).isEqualTo(2.5, within(0.01));
        assertThat(mService.expectedSlowdown(server, 500 * MILLI)).isBetween(1.4, 1.7);
        assertThat(mService.expectedSlowdown(server, 5_000 * MILLI)).isBetween(0.99, 1.02);
        assertThat(mService.meanExpectedSlowdown(server, 0, 500 * MILLI)).isBetween(1.8, 2.1);
    }

    /** Guards against slowdowns that are used where no server ever reported one. */
    @Example
    void slowdownWithoutAnyReportIsOne() {
        assertThat(mService.expectedSlowdown(new ServerSpeed(), 0)).isEqualTo(1);
        assertThat(mService.meanSlowdown()).isEqualTo(1);
    }

    /** Guards against values that are believed much longer, or shorter, than they last. */
    @Example
    void timeConstantIsDerivedFromSuccessiveValues() {
        assertThat(persistenceMillis(2_000)).isBetween(1_000L, 4_000L);
        assertThat(persistenceMillis(100)).isBetween(50L, 200L);
    }

    /** Guards against a time constant that is drawn from values which do not differ. */
    @Example
    void timeConstantOfServersThatAreNeverSlowIsTheDefault() {
        SpeedPersistence persistence = new SpeedPersistence();
        for (int each = 0; each < 1_000; each++) {
            persistence.recordPair(0, 0, 300 * MILLI);
        }
        assertThat(persistence.nanos()).isEqualTo(500 * MILLI);
    }

    /** Guards against a server with false reports that makes all others appear fast or slow. */
    @Example
    void serverThatStatesNonsenseChangesMeanLittle() {
        recordNormal(500);
        ServerSpeed nonsense = new ServerSpeed();
        for (int each = 0; each < 20; each++) {
            mService.record(nonsense, each % 2 == 0 ? 10_000 : 1, each);
        }
        assertThat(mService.meanSlowdown()).isBetween(0.9, 1.25);
        assertThat(nonsense.reportedSlowdown()).isEqualTo(0.5);
        for (int each = 0; each < 64; each++) {
            mService.recordRun(ROUTE, 0, 200.0 * MILLI, each % 4 == 0 ? 100 : 1);
        }
        assertThat(mService.runTimes(ROUTE).missNanos()).isEqualTo(200.0 * MILLI, within(1.0));
    }

    /** Guards against a report of a neighbor that replaces a later answer to this instance. */
    @Example
    void earlierValueDoesNotReplaceLaterOne() {
        ServerSpeed server = new ServerSpeed();
        server.record(100, 200 * MILLI);
        server.record(250, 50 * MILLI);
        assertThat(server.reportedSlowdown()).isEqualTo(1);
    }

    /** Guards against moving keys as if a miss took as long as a hit. */
    @Example
    void hitsAndMissesAreToldApartAtAnySpeed() {
        for (int each = 0; each < 4_000; each++) {
            int rank = each % 10 == 0 ? 1 : 0;
            boolean isHit = mRandom.nextDouble() < (rank == 0 ? 0.9 : 0.4);
            double slowdown = each % 7 == 0 ? 2.5 : 1;
            double nanos = (isHit ? 184 : 613) * MILLI * Math.exp(0.15 * mRandom.nextGaussian());
            mService.recordRun(ROUTE, rank, nanos * slowdown, slowdown);
        }
        RunTimes times = mService.runTimes(ROUTE);
        assertThat(times.hitNanos()).isBetween(170.0 * MILLI, 200.0 * MILLI);
        assertThat(times.missNanos()).isBetween(560.0 * MILLI, 660.0 * MILLI);
        assertThat(times.holdProbability(0)).isBetween(0.8, 1.0);
        assertThat(times.holdProbability(1)).isBetween(0.2, 0.6);
        assertThat(times.spread()).isBetween(0.1, 0.2);
    }

    /** Guards against a cost of misses at servers that cache nothing. */
    @Example
    void timesThatDoNotDifferBecomeOneTime() {
        for (int each = 0; each < 1_000; each++) {
            mService.recordRun(ROUTE, 0, 100 * MILLI * Math.exp(0.2 * mRandom.nextGaussian()), 1);
        }
        RunTimes times = mService.runTimes(ROUTE);
        assertThat(times.hitNanos()).isEqualTo(times.missNanos());
    }

    /** Guards against a hit at a slow server that counts as late only because its mean is high. */
    @Example
    void probabilityWithinTargetConsidersBothSpeeds() {
        recordNormal(300);
        ServerSpeed slow = new ServerSpeed();
        mService.record(slow, 250, 0);
        double hit = mService.probabilityWithin(slow, 0, 184 * MILLI, 0.1, 544 * MILLI);
        double miss = mService.probabilityWithin(slow, 0, 613 * MILLI, 0.1, 544 * MILLI);
        assertThat(hit).isGreaterThan(0.9);
        assertThat(miss).isLessThan(0.1);
        double aged = mService.probabilityWithin(slow, 5e9, 400 * MILLI, 0.1, 544 * MILLI);
        assertThat(aged).isGreaterThan(0.9);
    }

    private void recordNormal(int count) {
        for (int each = 0; each < count; each++) {
            mService.record(new ServerSpeed(), 100, 0);
        }
    }

    /** Plays a server that is slow at times, with values at random ages. */
    private long persistenceMillis(double meanSlowMillis) {
        SpeedPersistence persistence = new SpeedPersistence();
        double previous = 0;
        for (int each = 0; each < 5_000; each++) {
            long age = (long) ((20 + mRandom.nextInt(800)) * (double) MILLI);
            double remaining = Math.exp(-age / (meanSlowMillis * MILLI));
            boolean isSame = mRandom.nextDouble() < remaining;
            double next = isSame ? previous : (mRandom.nextInt(7) == 0 ? 1.3 : -0.2);
            persistence.recordPair(previous, next, age);
            previous = next;
        }
        return TimeUnit.NANOSECONDS.toMillis(persistence.nanos());
    }
}
