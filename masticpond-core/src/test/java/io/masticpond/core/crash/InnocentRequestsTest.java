package io.masticpond.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.crash.CrashFleet.Instance;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Verifies that requests are not rejected when servers end for other reasons. A few objects are
 * requested repeatedly with the same path and body, so that the same request is being processed at
 * many ends.
 */
class InnocentRequestsTest {

    private static final int INSTANCES = 20;
    private static final int SERVERS = 40;
    private static final int OBJECTS = 12;
    private static final long SEED = 11;
    private static final Duration RESTART_TIME = Duration.ofSeconds(2);

    /** Request in progress, sent at most twice as its route allows. */
    private final class Call {

        private final RequestFingerprint mRequest;
        private final Instance mInstance;
        private final int mAttempt;
        private final int mServer;
        private final int mRun;
        private final long mSentNanos;

        Call(RequestFingerprint request, Instance at, int attempt, int server) {
            mRequest = request;
            mInstance = at;
            mAttempt = attempt;
            mServer = server;
            mRun = mRuns[server];
            mSentNanos = mFleet.nowNanos();
            mCalls.add(this);
            long work = Duration.ofMillis(50 + mFleet.random().nextInt(900)).toNanos();
            mFleet.after(work, this::finish);
        }

        private void finish() {
            if (mCalls.remove(this)) {
                mServed++;
                mInstance.mRequests.answered(mRequest, mFleet.nowNanos());
            }
        }

        private void breakOff() {
            long now = mFleet.nowNanos();
            mInstance.mRequests.addServerEnd(
                    mRequest, 1_000L * mServer + mRun, mSentNanos, now, now);
            if (mAttempt == 1) {
                send(mRequest, mInstance, 2);
            }
        }
    }

    private final CrashFleet mFleet = new CrashFleet(INSTANCES, CrashSettings.DEFAULT, SEED);

    /**
     * Source of the order in which the requests at one server break off, or empty to use their
     * order of arrival.
     */
    private Optional<Random> mOrder = Optional.empty();

    private final Set<Call> mCalls = new LinkedHashSet<>();
    private final int[] mRuns = new int[SERVERS];
    private final boolean[] mIsDown = new boolean[SERVERS];
    private int mServed;
    private int mRejected;

    private void send(RequestFingerprint request, Instance at, int attempt) {
        if (at.rejects(request)) {
            mRejected++;
            return;
        }
        List<Integer> up = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            if (!mIsDown[server]) {
                up.add(server);
            }
        }
        if (!up.isEmpty()) {
            new Call(request, at, attempt, up.get(mFleet.random().nextInt(up.size())));
        }
    }

    private void load(Duration time, int perSecond) {
        long gap = Duration.ofSeconds(1).toNanos() / perSecond;
        for (long at = 0; at < time.toNanos(); at += gap) {
            mFleet.after(
                    at,
                    () -> {
                        int object = mFleet.random().nextInt(OBJECTS);
                        send(new RequestFingerprint(5, object), mFleet.randomInstance(), 1);
                    });
        }
    }

    private void kill(int count) {
        for (int number = 0; number < count; number++) {
            kill(mFleet.random().nextInt(SERVERS), 0);
        }
    }

    private void kill(int server, long afterNanos) {
        mFleet.after(
                afterNanos,
                () -> {
                    if (mIsDown[server]) {
                        return;
                    }
                    mIsDown[server] = true;
                    mRuns[server]++;
                    List<Call> ended =
                            new ArrayList<>(
                                    mCalls.stream().filter(c -> c.mServer == server).toList());
                    mOrder.ifPresent(order -> Collections.shuffle(ended, order));
                    mCalls.removeAll(ended);
                    ended.forEach(Call::breakOff);
                    mFleet.after(RESTART_TIME.toNanos(), () -> mIsDown[server] = false);
                });
    }

    private void runWithKills(int killed, Duration every) {
        Duration duration = Duration.ofMinutes(10);
        load(duration, 200);
        for (Duration at = every; at.compareTo(duration) < 0; at = at.plus(every)) {
            mFleet.after(at.toNanos(), () -> kill(killed));
        }
        mFleet.advance(duration);
        assertThat(mServed).isGreaterThan(50_000);
        assertThat(mRejected).isZero();
    }

    @Example
    void killingOneServerInTenRejectsNoRequest() {
        runWithKills(SERVERS / 10, Duration.ofSeconds(7));
    }

    @Example
    void killingHalfTheServersRejectsNoRequest() {
        runWithKills(SERVERS / 2, Duration.ofSeconds(9));
    }

    @Example
    void serversEndingInQuickSuccessionRejectNoRequest() {
        Duration duration = Duration.ofMinutes(5);
        load(duration, 200);
        Duration every = Duration.ofMillis(130);
        for (Duration at = every; at.compareTo(duration) < 0; at = at.plus(every)) {
            kill(mFleet.random().nextInt(SERVERS), at.toNanos());
        }
        mFleet.advance(duration);
        assertThat(mServed).isGreaterThan(25_000);
        assertThat(mRejected).isZero();
    }

    /**
     * Guards against a rejection that occurred once in some 300 runs with a random order; the seed
     * reproduces it.
     */
    @Example
    void anyOrderOfBrokenOffRequestsRejectsNoRequest() {
        mOrder = Optional.of(new Random(201));
        serversEndingInQuickSuccessionRejectNoRequest();
    }

    /**
     * Guards against a rejection at an instance where the clearance of a request overtakes the
     * suspicion of it.
     */
    @Example
    void suspicionOvertakenByClearanceRejectsNoRequest() {
        mOrder = Optional.of(new Random(242));
        serversEndingInQuickSuccessionRejectNoRequest();
    }

    @Example
    void suspicionOvertakenInDifferentOrderRejectsNoRequest() {
        mOrder = Optional.of(new Random(276));
        serversEndingInQuickSuccessionRejectNoRequest();
    }

    @Example
    void requestAtSeveralServersEndingAtOnceIsNotRejected() {
        RequestFingerprint request = new RequestFingerprint(6, 6);
        for (int server = 0; server < 6; server++) {
            new Call(request, mFleet.randomInstance(), 2, server);
        }
        mFleet.advance(Duration.ofMillis(10));
        for (int server = 0; server < 6; server++) {
            kill(server, 0);
        }
        mFleet.advance(Duration.ofSeconds(5));
        assertThat(mFleet.instances()).noneMatch(each -> each.rejects(request));
    }
}
