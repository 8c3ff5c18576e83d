package io.masticpond.core.reachability;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetSettings;
import io.masticpond.core.limit.SharedRetryBudget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Model of one instance whose connections to the servers of a service are reset again and again,
 * while other instances reach the servers. It sends idempotent requests in steps of 1 ms.
 */
final class FlappingLinkModel {

    static final ServiceId SERVICE = new ServiceId("reading");
    static final int MILLIS = 12_000;
    private static final int BEFORE_MILLIS = 2_000;

    /** Age of the process at the start; retry budgets have no slack in their first window. */
    private static final int AGE_MILLIS = 3_000;

    private static final int SERVERS = 6;
    private static final int ATTEMPTS = 2;
    private static final int PROBE_MILLIS = 2;
    private static final int EVALUATION_MILLIS = 100;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int INSTANCES = 4;
    private static final int AVOIDANCE_MILLIS = 700;

    /**
     * Cuts of a link and the requests of the instance.
     *
     * @param spreadMillis the time from the cut of the first server to that of the last
     */
    record Load(int cutMillis, int openMillis, int spreadMillis, int perSecond, int workMillis) {

        boolean isCut(int server, int nowMillis) {
            int millis = nowMillis - server * spreadMillis / SERVERS;
            return millis >= 0 && millis < MILLIS && millis % (cutMillis + openMillis) < cutMillis;
        }
    }

    private static final class Request {
        private int mAttempts;
        private int mServer;
        private int mEndMillis;
    }

    private record Probe(int server, boolean isCut, int endMillis) {}

    private final Load mLoad;
    private final SplittableRandom mRandom;
    private final ReachabilityMonitor mMonitor =
            new ReachabilityMonitor(ReachabilitySettings.DEFAULT);
    private final SharedRetryBudget mBudget =
            new SharedRetryBudget(
                    new RetryBudgetSettings(0.2, 60, Duration.ofSeconds(10), 0.8), nanos(0));
    private final Set<Integer> mIdle = new HashSet<>();
    private final List<Request> mInFlight = new ArrayList<>();
    private final List<Probe> mProbes = new ArrayList<>();
    private final int[] mAvoidedUntilMillis = new int[SERVERS];
    private boolean mIsProbing;
    private int mAnsweredServer;
    private int mNowMillis;
    int mRequests;
    int mFailed;
    int mRetries;
    int mForwarded;
    int mProbesSent;

    FlappingLinkModel(Load load, long seed) {
        mLoad = load;
        mRandom = new SplittableRandom(seed);
        mMonitor.setListener(
                new ReachabilityListener() {
                    @Override
                    public void onChanged(ReachabilityView view, long formerNanos) {
                        Arrays.fill(mAvoidedUntilMillis, -BEFORE_MILLIS);
                    }

                    @Override
                    public void onSuspicionChanged(ReachabilityView view, long formerNanos) {
                        mIsProbing = true;
                    }
                });
        mMonitor.update(Set.of(SERVICE), nanos(0));
    }

    private static long nanos(int millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private long now() {
        return nanos(AGE_MILLIS + BEFORE_MILLIS + mNowMillis);
    }

    private boolean isCut(int server) {
        return mLoad.isCut(server, mNowMillis);
    }

    /** Runs the model up to one second after the last cut. */
    void run() {
        for (mNowMillis = -BEFORE_MILLIS; mNowMillis < MILLIS + MILLIS_PER_SECOND; mNowMillis++) {
            for (int server = 0; server < SERVERS; server++) {
                if (isCut(server) && !mLoad.isCut(server, mNowMillis - 1)) {
                    cut(server);
                }
            }
            endProbes();
            endRequests();
            if (Math.floorMod(mNowMillis, EVALUATION_MILLIS) == 0) {
                mMonitor.evaluate(now());
                mIsProbing = true;
            }
            if (mIsProbing) {
                mIsProbing = false;
                startProbes();
            }
            if (mRandom.nextInt(MILLIS_PER_SECOND) < mLoad.perSecond()) {
                if (mNowMillis >= 0) {
                    mRequests++;
                }
                mBudget.recordFirstAttempt(now());
                attempt(new Request());
            }
        }
    }

    private void cut(int server) {
        if (mIdle.remove(server)) {
            boolean isConnected = !mIdle.isEmpty() || !mInFlight.isEmpty();
            mMonitor.recordIdleReset(SERVICE, id(server), isConnected, now());
        }
        for (Request request : List.copyOf(mInFlight)) {
            if (request.mServer == server) {
                mInFlight.remove(request);
                mMonitor.recordEnded(SERVICE, now());
                failed(request);
            }
        }
    }

    private static BackendServerId id(int server) {
        return new BackendServerId("s" + server);
    }

    private void startProbes() {
        int first = mAnsweredServer;
        for (int index = 0; mMonitor.dueProbes(SERVICE, now()) > 0; index++) {
            int server = (first + index) % SERVERS;
            mMonitor.probeStarted(SERVICE, now());
            mProbes.add(new Probe(server, isCut(server), mNowMillis + PROBE_MILLIS));
            mProbesSent++;
        }
        if (mMonitor.state(SERVICE) == ReachabilityState.SUSPECTED) {
            mMonitor.endProbing(SERVICE, now());
        }
    }

    private void endProbes() {
        for (Probe probe : List.copyOf(mProbes)) {
            if (probe.endMillis() == mNowMillis) {
                mProbes.remove(probe);
                boolean isAnswered = !probe.isCut() && !isCut(probe.server());
                mAnsweredServer = isAnswered ? probe.server() : mRandom.nextInt(SERVERS);
                mMonitor.probeEnded(SERVICE, isAnswered, now());
            }
        }
    }

    private void endRequests() {
        for (Request request : List.copyOf(mInFlight)) {
            if (request.mEndMillis > mNowMillis) {
                continue;
            }
            mInFlight.remove(request);
            mMonitor.recordEnded(SERVICE, now());
            if (isCut(request.mServer)) {
                failed(request);
            } else {
                mIdle.add(request.mServer);
                mAnsweredServer = request.mServer;
                mMonitor.recordAnswered(SERVICE, nanos(mLoad.workMillis()), now());
            }
        }
    }

    private void attempt(Request request) {
        boolean isRepeat = request.mAttempts > 0;
        if ((isRepeat && !mMonitor.isRepeatDirect(SERVICE, now()))
                || !mMonitor.isDirect(SERVICE, mRandom.nextDouble(), now())) {
            mForwarded++;
            return;
        }
        request.mAttempts++;
        request.mServer = server();
        mIdle.remove(request.mServer);
        request.mEndMillis = mNowMillis + (isCut(request.mServer) ? 1 : mLoad.workMillis());
        mMonitor.recordSent(SERVICE, now());
        mInFlight.add(request);
    }

    /** Returns a server that did not fail recently, or any if all did. */
    private int server() {
        List<Integer> servers = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            if (mAvoidedUntilMillis[server] <= mNowMillis) {
                servers.add(server);
            }
        }
        return servers.isEmpty()
                ? mRandom.nextInt(SERVERS)
                : servers.get(mRandom.nextInt(servers.size()));
    }

    /** Handles a request that broke off after it was written, so that it may have run. */
    private void failed(Request request) {
        mAvoidedUntilMillis[request.mServer] = mNowMillis + AVOIDANCE_MILLIS;
        if (request.mAttempts == 1) {
            mMonitor.recordFailed(SERVICE, id(request.mServer), now());
        }
        if (request.mAttempts < ATTEMPTS && mBudget.tryRetry(now(), INSTANCES)) {
            mRetries++;
            attempt(request);
        } else {
            mFailed++;
        }
    }
}
