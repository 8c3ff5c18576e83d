package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.placement.Placement;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.routing.Route;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCall;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.AttemptResult;
import io.masticpond.entry.log.RequestRecord;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Execution of one request, with at most one attempt at a time and one answer at the end. A request
 * that may have run is retried only if it is idempotent. The refusal of a request that did not run
 * guarantees that it did not.
 */
final class RequestRun {

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Bounds the servers that a request tries, as failed connections do not count as attempts. */
    private static final int MAXIMUM_CONNECT_FAILURES = 4;

    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(100);

    private final RequestFlow mFlow;
    private final IncomingRequest mRequest;
    private final Responder mResponder;
    private final RequestRecord mFacts;
    private final Caller mCaller;
    private final Route mRoute;
    private final ServiceId mService;
    private final RequestTimes mTimes;
    private final String mRequestId;
    private final ForwardedHeaders mHeaders;
    private final ServerSearch mSearch;
    private final RequestCompletion mCompletion;
    private final CrashCheck mCrashCheck;

    /** Null if spending has no cap. */
    private final AttemptCharge mAttemptCharge;

    private Future<?> mTimeout;
    private BackendCall mCall;
    private ServerLoad mServer;
    private long mSentNanos;
    private int mAttemptCount;
    private int mConnectFailureCount;
    private boolean mMayHaveRun;
    private boolean mDone;

    RequestRun(
            RequestFlow flow,
            IncomingRequest request,
            Responder responder,
            RequestRecord facts,
            Caller caller,
            ServiceId service,
            RequestTimes times,
            boolean hasDeadline) {
        mFlow = flow;
        mRequest = request;
        mResponder = responder;
        mFacts = facts;
        mCaller = caller;
        mRoute = caller.route();
        mService = service;
        mTimes = times;
        mRequestId = request.headers().get(flow.names().requestId());
        mHeaders =
                new ForwardedHeaders(
                        request.headers(), flow.names(), hasDeadline, caller.workspace());
        String key = request.headers().get(flow.names().affinityKey());
        facts.key(key);
        mSearch = new ServerSearch(flow, facts, caller, service, key, request.body());
        mCrashCheck = new CrashCheck(flow.crashGuard(), request, facts);
        mCompletion = new RequestCompletion(flow.answers(), facts, mRequestId);
        mAttemptCharge = AttemptCharge.of(flow.spending(), facts, service);
    }

    void begin() {
        long now = mFlow.nowNanos();
        mFlow.retries().recordFirstAttempt(mService, now);
        mFlow.placer().arrived(mRoute, mService, mCaller.workspace(), now);
        long left = mTimes.leftNanos(now);
        if (left <= 0) {
            refuse("deadline-passed");
            return;
        }
        mTimeout = mFlow.eventLoop().schedule(this::onTimeout, left, TimeUnit.NANOSECONDS);
        mResponder.onClientDisconnected(this::onClientDisconnected);
        if (!mDone) {
            attempt();
        }
    }

    private void attempt() {
        if (endIfRejected()) {
            return;
        }
        long now = mFlow.nowNanos();
        List<ServerLoad> servers = mFlow.servers().of(mService);
        Placement placement = mSearch.place(servers, mAttemptCount > 0, mTimes.leftNanos(now), now);
        if (placement instanceof Placement.Refused refused) {
            refuseForLoad(refused.decision(), servers, now);
            return;
        }
        if (placement instanceof Placement.Throttled throttled) {
            Duration retryDelay = Duration.ofNanos(throttled.retryAfterNanos());
            endRejected(Rejection.unavailable(throttled.cause(), retryDelay));
            return;
        }
        if (!(placement instanceof Placement.Placed placed)) {
            end("no-backend-server");
            return;
        }
        mSearch.recordChosen(placed.choice(), now);
        ServerLoad chosen = placed.choice().load();
        if (chargeOrEnd(chosen)) {
            send(chosen, now);
        }
    }

    private void refuseForLoad(AdmissionDecision decision, List<ServerLoad> servers, long now) {
        mSearch.recordRankedCandidates(servers, mTimes.leftNanos(now), now);
        mFacts.expectedWait(decision.expectedWaitNanos(), decision.maximumWaitNanos());
        refuse(Rejection.unavailable(decision.cause().text(), decision.retryAfter()));
    }

    /** Charges the next attempt, or ends the request if the charge is refused. */
    private boolean chargeOrEnd(ServerLoad chosen) {
        if (mAttemptCharge != null) {
            mAttemptCharge
                    .charge(chosen.server().zone())
                    .map(each -> Rejection.unavailable(each.cause(), each.retryAfter()))
                    .ifPresent(this::endRejected);
        }
        return !mDone;
    }

    private void send(ServerLoad chosen, long now) {
        mServer = chosen;
        mSentNanos = now;
        mAttemptCount++;
        mSearch.markTried(chosen);
        mFlow.placer().sent(chosen, now);
        mCaller.recordSent(now);
        mFacts.retryBudget(mFlow.retries().remainingRetries(mService, now));
        mFacts.sent(chosen.server().id(), chosen.server().zone(), mSearch.isCold(chosen, now), now);
        BackendRequest request =
                new BackendRequest(
                        mRequestId,
                        mRequest.method(),
                        mRequest.target(),
                        mHeaders.to(chosen.server().id(), mTimes.leftNanos(now)),
                        mRequest.body(),
                        Math.max(1, mTimes.leftNanos(now)),
                        mRoute.idempotent());
        mCall =
                mFlow.connections()
                        .send(
                                chosen.server(),
                                mFlow.connectionShare(mService),
                                request,
                                new AttemptListener(mFlow, this, mFacts, chosen, now));
    }

    void onAnswer(ServerLoad server, ServerStatement statement, BackendAnswer answer) {
        long now = mFlow.nowNanos();
        finishAttempt(server);
        statement.load().ifPresent(load -> mFlow.placer().reported(server, load, now));
        boolean notExecuted = answer.headers().contains(mFlow.names().notExecuted());
        if (answer.status() == MISDIRECTED || notExecuted) {
            answer.body().release();
            refundCharge();
            mFacts.attemptEnded(AttemptResult.TURNED_AWAY, answer.status(), now);
            rejectedByServer(server, answer.status(), statement, now);
            return;
        }
        if (answer.isSuccess() && !answer.headers().contains(mFlow.names().seal())) {
            answer.body().release();
            mFacts.attemptEnded(AttemptResult.BAD_ANSWER, answer.status(), now);
            mFlow.placer().failed(server, now);
            mMayHaveRun = true;
            retryOrEnd("bad-answer");
            return;
        }
        mFacts.attemptEnded(AttemptResult.ANSWERED, answer.status(), now);
        int sentBytes = mRequest.body().readableBytes();
        mFlow.placer().transferred(server, mRoute.id(), sentBytes, answer.body().readableBytes());
        boolean failed = answer.status() >= FIRST_SERVER_ERROR;
        if (failed && !statement.isWithdrawing()) {
            mFlow.placer().failed(server, now);
        } else if (!failed) {
            mSearch.succeeded(server, statement.load(), now - mSentNanos, now);
            mCrashCheck.recordAnswer();
        }
        if (failed && mRoute.idempotent() && tryAcquireRetry(now)) {
            answer.body().release();
            mMayHaveRun = true;
            retry();
            return;
        }
        respond(mCompletion.forwarded(answer, now));
    }

    private void rejectedByServer(
            ServerLoad server, int status, ServerStatement statement, long now) {
        if (status == MISDIRECTED) {
            mFlow.placer().misdirected(server, now);
        } else if (!statement.isWithdrawing()) {
            mFlow.placer().rejectedByServer(server, statement.load(), now);
        }
        retryOrEnd("turned-away");
    }

    void onFailure(ServerLoad server, CallFailure failure) {
        long now = mFlow.nowNanos();
        finishAttempt(server);
        mFacts.attemptEnded(AttemptResult.of(failure), 0, now);
        if (failure.kind() == CallFailure.Kind.NOT_CONNECTED) {
            mFlow.placer().unreachable(server, now);
        }
        if (failure.kind().isServerFailure()) {
            mFlow.placer().failed(server, now);
        }
        if (failure.verdict() == Verdict.DID_NOT_RUN) {
            refundCharge();
            reconnect();
            return;
        }
        mMayHaveRun = true;
        if (failure.kind() == CallFailure.Kind.BROKEN_OFF) {
            mCrashCheck.recordBrokenOff(server.server(), mSentNanos, now);
        }
        if (failure.kind().isTimeout()) {
            onTimeout();
            return;
        }
        retryOrEnd("broken-off");
    }

    /** Ends the request if it is rejected as crashing or its key is no longer proven valid. */
    private boolean endIfRejected() {
        if (!mDone) {
            mCrashCheck.rejection().or(mCaller::rejection).ifPresent(this::endRejected);
        }
        return mDone;
    }

    private void endRejected(Rejection rejection) {
        if (mMayHaveRun) {
            end(rejection.cause());
        } else {
            refuse(rejection);
        }
    }

    /** Ends this request if it has the fingerprint of a request that is rejected from now on. */
    void onRejected(RequestFingerprint request) {
        if (!mDone && mCrashCheck.isFor(request)) {
            cancelCall();
            endRejected(mCrashCheck.reportedRejection());
        }
    }

    /** Tries another server or ends. Nothing reached this one, so no attempt or budget is used. */
    private void reconnect() {
        mAttemptCount--;
        mConnectFailureCount++;
        if (mConnectFailureCount >= MAXIMUM_CONNECT_FAILURES
                || mTimes.leftNanos(mFlow.nowNanos()) <= 0) {
            end("not-connected");
            return;
        }
        attempt();
    }

    private void retryOrEnd(String cause) {
        long now = mFlow.nowNanos();
        boolean isRepeatable = !mMayHaveRun || (mRoute.idempotent() && !mCrashCheck.isSuspected());
        if (isRepeatable && tryAcquireRetry(now)) {
            retry();
            return;
        }
        end(cause);
    }

    private boolean tryAcquireRetry(long now) {
        return mAttemptCount < mRoute.maximumAttempts()
                && mTimes.leftNanos(now) > 0
                && mFlow.retries().tryRetry(mService, now);
    }

    private void retry() {
        mFlow.log().requestRetried(mFacts);
        attempt();
    }

    private void refundCharge() {
        if (mAttemptCharge != null) {
            mAttemptCharge.refund();
        }
    }

    private void finishAttempt(ServerLoad server) {
        mSearch.attemptEnded(server);
        mCall = null;
    }

    /** Ends the request at once because this instance stops. */
    void stop() {
        abort("stopping");
    }

    private void onTimeout() {
        abort("timeout");
    }

    private void abort(String cause) {
        if (mDone) {
            return;
        }
        if (mCall != null && !mCall.isReadingPaused()) {
            mFlow.placer().failed(mServer, mFlow.nowNanos());
        }
        cancelCall();
        end(cause);
    }

    private void onClientDisconnected() {
        if (mDone) {
            return;
        }
        cancelCall();
        finish();
        mFacts.clientDisconnected(mFlow.nowNanos());
        mFlow.onRunEnded(this, mFacts);
    }

    private void cancelCall() {
        if (mCall == null) {
            return;
        }
        mMayHaveRun |= mCall.isWritten();
        mFacts.attemptEnded(AttemptResult.CANCELLED, 0, mFlow.nowNanos());
        mCall.cancel();
        finishAttempt(mServer);
    }

    private void end(String cause) {
        if (!mMayHaveRun) {
            refuse(cause);
            return;
        }
        long now = mFlow.nowNanos();
        respond(mCompletion.uncertain(cause, mTimes.leftNanos(now) <= 0, now));
    }

    private void refuse(String cause) {
        refuse(Rejection.unavailable(cause, DEFAULT_RETRY_DELAY));
    }

    private void refuse(Rejection rejection) {
        respond(mCompletion.notRun(rejection, mFlow.nowNanos()));
    }

    private void respond(OutgoingAnswer answer) {
        finish();
        mResponder.answer(answer);
        mFlow.onRunEnded(this, mFacts);
    }

    private void finish() {
        mDone = true;
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        mRequest.body().release();
    }

    boolean isDone() {
        return mDone;
    }
}
