package io.masticpond.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.crash.CrashFleet.Instance;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Verifies the rejection of a request that crashes servers when each instance observes only some of
 * the ends.
 */
class CrashingRequestsTest {

    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 2);
    private static final RequestFingerprint INNOCENT = new RequestFingerprint(3, 4);
    private static final Duration WORK = Duration.ofMillis(80);
    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(3);
    private static final int MAXIMUM_SENDS = 3;
    private static final long SEED = 7;

    /** Size of the largest message with the headers of its datagram. */
    private static final int DATAGRAM_BYTES = 62;

    /** Control traffic that users tolerate for each instance. */
    private static final int CONTROL_BYTES_PER_SECOND = 2_000;

    private int mServers;
    private int mSends;

    private static CrashFleet fleet(int instances) {
        return new CrashFleet(instances, CrashSettings.DEFAULT, SEED);
    }

    /** Sends the request to an instance from a client; the server that processes it ends. */
    private void crash(CrashFleet fleet, Instance at) {
        if (at.rejects(CRASHING)) {
            return;
        }
        mSends++;
        end(fleet, at, CRASHING, WORK);
    }

    private void end(CrashFleet fleet, Instance at, RequestFingerprint request, Duration after) {
        long sentNanos = fleet.nowNanos();
        int server = mServers++;
        fleet.after(
                after.toNanos(),
                () -> {
                    long now = fleet.nowNanos();
                    at.mRequests.addServerEnd(request, server, sentNanos, now, now);
                });
    }

    private void repeat(CrashFleet fleet, int times, Duration gap) {
        for (int time = 0; time < times; time++) {
            crash(fleet, fleet.randomInstance());
            fleet.advance(gap);
        }
    }

    @Example
    void isRejectedByAllInstancesWhenEachObservesOneEndAtMost() {
        CrashFleet fleet = fleet(95);
        repeat(fleet, 4, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        assertThat(fleet.instances()).allMatch(each -> each.rejects(CRASHING));
        assertThat(fleet.instances()).noneMatch(each -> each.rejects(INNOCENT));
        mSends = 0;
        repeat(fleet, 200, Duration.ofMillis(100));
        assertThat(mSends).isZero();
    }

    @Example
    void isRejectedInTimeWhenEveryFifthMessageIsLost() {
        CrashFleet fleet = fleet(95);
        fleet.setLossRate(0.2);
        repeat(fleet, 6, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        mSends = 0;
        repeat(fleet, 200, Duration.ofMillis(100));
        assertThat(mSends).isLessThanOrEqualTo(MAXIMUM_SENDS);
    }

    @Example
    void startedInstanceReceivesRejectionsOfOthers() {
        CrashFleet fleet = fleet(10);
        repeat(fleet, 5, Duration.ofMillis(400));
        fleet.advance(Duration.ofMinutes(30));
        Instance started = fleet.instances().get(4);
        started.restart();
        fleet.advance(Duration.ofSeconds(6));
        assertThat(started.rejects(CRASHING)).isTrue();
    }

    @Example
    void disconnectedInstanceRejectsByItsOwnObservations() {
        CrashFleet fleet = fleet(10);
        Instance disconnected = fleet.instances().get(0);
        disconnected.mIsDisconnected = true;
        for (int time = 0; time < 5; time++) {
            crash(fleet, disconnected);
            fleet.advance(Duration.ofMillis(300));
        }
        fleet.advance(PROPAGATION_TIME);
        mSends = 0;
        crash(fleet, disconnected);
        assertThat(mSends).isZero();
        assertThat(disconnected.rejects(CRASHING)).isTrue();
    }

    @Example
    void isTriedAtMostThreeTimesDailyWithOneSendEach() {
        CrashFleet fleet = fleet(10);
        repeat(fleet, 4, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        mSends = 0;
        for (int minute = 0; minute < TimeUnit.DAYS.toMinutes(1); minute++) {
            crash(fleet, fleet.randomInstance());
            fleet.advance(Duration.ofMinutes(1));
        }
        assertThat(mSends).isBetween(1, MAXIMUM_SENDS);
    }

    @Example
    void answerOrOperatorReleasesItAtAllInstances() {
        CrashFleet fleet = fleet(20);
        repeat(fleet, 4, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        fleet.instances().get(3).mRequests.answered(CRASHING, fleet.nowNanos());
        fleet.advance(Duration.ofSeconds(5));
        assertThat(fleet.instances()).noneMatch(each -> each.rejects(CRASHING));
        repeat(fleet, 4, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        assertThat(fleet.instances()).allMatch(each -> each.rejects(CRASHING));
        fleet.instances().get(5).mRequests.release(CRASHING, fleet.nowNanos());
        fleet.advance(Duration.ofSeconds(5));
        assertThat(fleet.instances()).noneMatch(each -> each.rejects(CRASHING));
    }

    @Example
    void releaseReachesInstancesThatMissedItsMessage() {
        CrashFleet fleet = fleet(20);
        repeat(fleet, 4, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        fleet.setLossRate(0.5);
        fleet.instances().get(5).mRequests.release(CRASHING, fleet.nowNanos());
        fleet.advance(Duration.ofSeconds(60));
        assertThat(fleet.instances()).noneMatch(each -> each.rejects(CRASHING));
    }

    @Example
    void reportsStayFarBelowControlTrafficLimit() {
        for (int instances : new int[] {95, 410}) {
            CrashFleet fleet = fleet(instances);
            repeat(fleet, 20, Duration.ofMillis(400));
            long once = fleet.messages();
            fleet.advance(Duration.ofMinutes(10));
            double perSecond = (fleet.messages() - once) / 600.0 / instances;
            assertThat(once * DATAGRAM_BYTES / instances).isLessThan(CONTROL_BYTES_PER_SECOND);
            assertThat(perSecond * DATAGRAM_BYTES).isLessThan(CONTROL_BYTES_PER_SECOND / 10.0);
            System.out.printf(
                    "%d instances: %d datagrams once, %.2f a second for each instance%n",
                    instances, once, perSecond);
        }
    }

    @Example
    void oneFaultyInstanceCausesNoRejection() {
        CrashFleet fleet = fleet(10);
        Instance faulty = fleet.instances().get(0);
        for (int time = 0; time < 50; time++) {
            end(fleet, faulty, INNOCENT, WORK);
            faulty.sendToAll(new CrashMessage.Verdict(INNOCENT, 9, 3, 0));
            fleet.advance(Duration.ofMillis(200));
        }
        assertThat(fleet.instances().subList(1, 10)).noneMatch(each -> each.rejects(INNOCENT));
    }

    @Example
    void floodUsesBoundedMemoryAndEvictsNoRejectedRequest() {
        CrashFleet fleet = fleet(3);
        repeat(fleet, 5, Duration.ofMillis(400));
        fleet.advance(PROPAGATION_TIME);
        Instance instance = fleet.instances().get(0);
        for (int number = 0; number < 5_000; number++) {
            RequestFingerprint other = new RequestFingerprint(99, number);
            instance.mRequests.receive(
                    "flooding", new CrashMessage.ServerEnd(other, number, 5, 5), fleet.nowNanos());
        }
        assertThat(instance.mRequests.views(fleet.nowNanos()))
                .hasSizeLessThanOrEqualTo(CrashSuspects.MAXIMUM_SUSPECTS);
        assertThat(instance.rejects(CRASHING)).isTrue();
    }

    @Example
    void singleEndExpires() {
        CrashFleet fleet = fleet(3);
        crash(fleet, fleet.instances().get(0));
        fleet.advance(CrashSettings.DEFAULT.memory().plusMinutes(1));
        List<Instance> instances = fleet.instances();
        assertThat(instances).allMatch(each -> each.mRequests.views(fleet.nowNanos()).isEmpty());
        assertThat(instances).allMatch(each -> each.mRequests.isEmpty());
    }

    /** Connections of one instance that are cut again and again look like servers that end. */
    @Example
    void connectionsThatAreCutAtOneInstanceRejectNoRequest() {
        CrashFleet fleet = fleet(10);
        Instance cut = fleet.instances().get(0);
        for (int time = 0; time < 8; time++) {
            fleet.mRunningServers.add((long) mServers);
            end(fleet, cut, INNOCENT, WORK);
            fleet.advance(Duration.ofMillis(600));
            assertThat(fleet.instances())
                    .noneMatch(each -> each.mRequests.isSuspected(INNOCENT, fleet.nowNanos()));
        }
        fleet.advance(PROPAGATION_TIME);
        assertThat(fleet.instances()).noneMatch(each -> each.rejects(INNOCENT));
    }

    /** A refuted end must not keep a request from being rejected that crashes other servers. */
    @Example
    void crashingRequestIsRejectedBesidesConnectionsThatAreCut() {
        CrashFleet fleet = fleet(10);
        for (int time = 0; time < 6; time++) {
            fleet.mRunningServers.add((long) mServers);
            end(fleet, fleet.randomInstance(), CRASHING, WORK);
            fleet.advance(Duration.ofMillis(300));
            crash(fleet, fleet.randomInstance());
            fleet.advance(Duration.ofMillis(300));
        }
        fleet.advance(PROPAGATION_TIME);
        assertThat(fleet.instances()).allMatch(each -> each.rejects(CRASHING));
    }
}
