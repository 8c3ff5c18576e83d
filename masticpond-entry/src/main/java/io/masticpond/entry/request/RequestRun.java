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
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.forward.ForwardRefusal;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
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

    /** Bounds the failed connections of a request, as they do not count as attempts. */
    private static final int MAXIMUM_CONNECT_FAILURES = 4;

    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(100);

    /** Retry delay while no instance is known to reach the service. */
    private static final Duration UNREACHABLE_RETRY_DELAY = Duration.ofMillis(500);

    private final RequestFlow mFlow;
    private final AdmittedRequest mAdmitted;
    private final IncomingRequest mRequest;
    private final RequestRecord mFacts;
    private final Caller mCaller;
    private final Route mRoute;
    private final ServiceId mService;
    private final RequestTimes mTimes;
    private final ServerSearch mSearch;
    private final RequestCompletion mCompletion;
    private final CrashCheck mCrashCheck;
    private final ServerFeedback mFeedback;
    private final ForwardAttempts mForwardAttempts;
    private final AttemptCharge mAttemptCharge;
    private final RequestRetries mRetries;
    private final ServerCalls mCalls;

    private Future<?> mTimeout;
    private BackendCall mCall;
    private ServerLoad mServer;
    private long mSentNanos;
    private int mAttemptCount;
    private int mConnectFailureCount;
    private boolean mMayHaveRun;
    private boolean mDone;

    RequestRun(RequestFlow flow, AdmittedRequest admitted) {
        mFlow = flow;
        mAdmitted = admitted;
        mRequest = admitted.request();
        mFacts = admitted.facts();
        mCaller = admitted.caller();
        mRoute = mCaller.route();
        mService = admitted.service();
        mTimes = admitted.times();
        ForwardedHeaders headers =
                new ForwardedHeaders(
                        mRequest.headers(),
                        flow.names(),
                        admitted.hasDeadline(),
                        mCaller.workspace());
        String key = mRequest.headers().get(flow.names().affinityKey());
        mFacts.key(key);
        mSearch = new ServerSearch(flow, mFacts, mCaller, mService, key, mRequest.body());
        mCrashCheck = new CrashCheck(flow.crashGuard(), mRequest, mFacts);
        mRetries = new RequestRetries(flow, admitted, mCrashCheck);
        mFeedback = new ServerFeedback(flow, mSearch, mCrashCheck, mRoute, mRequest.body());
        mForwardAttempts = new ForwardAttempts(flow, this, admitted, headers);
        mCalls = new ServerCalls(flow, this, admitted, headers);
        mCompletion = new RequestCompletion(flow, mFacts, mRequest);
        mAttemptCharge = new AttemptCharge(flow.spending(), mFacts, mService);
    }

    void begin() {
        long now = mFlow.nowNanos();
        if (!mAdmitted.isForwarded()) {
            mFlow.retries().recordFirstAttempt(mService, now);
            mFlow.placer().arrived(mRoute, mService, mCaller.workspace(), now);
        }
        long left = mTimes.leftNanos(now);
        if (left <= 0) {
            refuse("deadline-passed");
            return;
        }
        mTimeout = mFlow.eventLoop().schedule(() -> abort("timeout"), left, TimeUnit.NANOSECONDS);
        mAdmitted.responder().onClientDisconnected(this::onClientDisconnected);
        if (!mDone) {
            attempt();
        }
    }

    private void attempt() {
        if (endIfRejected()) {
            return;
        }
        long now = mFlow.nowNanos();
        boolean isRepeat = mAttemptCount + mConnectFailureCount > 0;
        if (mForwardAttempts.isDue(isRepeat, now)) {
            forward(now);
            return;
        }
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
            endUnsent("no-backend-server");
            return;
        }
        mSearch.recordChosen(placed.choice(), now);
        ServerLoad chosen = placed.choice().load();
        if (chargeOrEnd(chosen)) {
            send(chosen, now);
        }
    }

    /** Forwards the request to another instance, or refuses it if there is none. */
    private void forward(long now) {
        int attempts = Math.max(1, mAdmitted.maximumAttempts() - mAttemptCount);
        if (!mForwardAttempts.send(attempts, mTimes.leftNanos(now), now)) {
            endRejected(Rejection.unavailable(ForwardRefusal.UNREACHABLE, UNREACHABLE_RETRY_DELAY));
        }
    }

    /** Ends the request, which could not be sent, unless another instance may send it. */
    private void endUnsent(String cause) {
        if (mForwardAttempts.isPossible()) {
            forward(mFlow.nowNanos());
        } else {
            end(cause);
        }
    }

    private void refuseForLoad(AdmissionDecision decision, List<ServerLoad> servers, long now) {
        mSearch.recordRankedCandidates(servers, mTimes.leftNanos(now), now);
        mFacts.expectedWait(decision.expectedWaitNanos(), decision.maximumWaitNanos());
        refuse(Rejection.unavailable(decision.cause().text(), decision.retryAfter()));
    }

    /** Charges the next attempt, or ends the request if the charge is refused. */
    private boolean chargeOrEnd(ServerLoad chosen) {
        mAttemptCharge
                .charge(chosen.server().zone())
                .map(each -> Rejection.unavailable(each.cause(), each.retryAfter()))
                .ifPresent(this::endRejected);
        return !mDone;
    }

    private void send(ServerLoad chosen, long now) {
        mServer = chosen;
        mSentNanos = now;
        mAttemptCount++;
        mSearch.markTried(chosen);
        mCall = mCalls.send(chosen, mSearch.isCold(chosen, now), mTimes.leftNanos(now), now);
    }

    void onAnswer(ServerLoad server, ServerStatement statement, BackendAnswer answer) {
        long now = mFlow.nowNanos();
        finishAttempt(server);
        mFeedback.reported(server, statement, now);
        boolean notExecuted = answer.headers().contains(mFlow.names().notExecuted());
        if (answer.status() == MISDIRECTED || notExecuted) {
            answer.body().release();
            mAttemptCharge.refund();
            mFacts.attemptEnded(AttemptResult.TURNED_AWAY, answer.status(), now);
            mFeedback.rejected(server, answer.status(), statement, now);
            retryOrEnd("turned-away");
            return;
        }
        if (answer.isSuccess() && !answer.headers().contains(mFlow.names().seal())) {
            answer.body().release();
            mFacts.attemptEnded(AttemptResult.BAD_ANSWER, answer.status(), now);
            mFeedback.failed(server, now);
            mMayHaveRun = true;
            retryOrEnd("bad-answer");
            return;
        }
        mFacts.attemptEnded(AttemptResult.ANSWERED, answer.status(), now);
        boolean failed = mFeedback.answered(server, statement, answer, mSentNanos, now);
        if (failed && mRoute.idempotent() && mRetries.tryAcquire(mAttemptCount)) {
            answer.body().release();
            mMayHaveRun = true;
            retry();
            return;
        }
        respond(mCompletion.forwarded(answer, now));
    }

    void onFailure(ServerLoad server, CallFailure failure) {
        long now = mFlow.nowNanos();
        finishAttempt(server);
        mFacts.attemptEnded(AttemptResult.of(failure), 0, now);
        mFeedback.failed(server, failure, mSentNanos, now);
        if (failure.verdict() == Verdict.DID_NOT_RUN) {
            mAttemptCharge.refund();
            reconnect(failure.kind());
            return;
        }
        mMayHaveRun = true;
        if (failure.kind().isTimeout()) {
            abort("timeout");
            return;
        }
        retryOrEnd("broken-off");
    }

    void onForwardAnswered(BackendAnswer answer) {
        respond(mCompletion.forwarded(answer, mFlow.nowNanos()));
    }

    void onForwardRefused(Rejection rejection, boolean mayOtherInstanceAccept) {
        if (mayOtherInstanceAccept && mTimes.leftNanos(mFlow.nowNanos()) > 0) {
            attempt();
        } else {
            endRejected(rejection);
        }
    }

    void onForwardUncertain(String cause) {
        mMayHaveRun = true;
        end(cause);
    }

    /**
     * Forwards the request if it waits for an answer of a server that this instance no longer
     * reaches and may be sent once more.
     */
    void onServiceUnreachable() {
        if (mDone || mCall == null || !mForwardAttempts.isPossible()) {
            return;
        }
        if (mCall.isWritten() && mRetries.tryRepeat(true, mAttemptCount)) {
            cancelCall();
            retry();
        }
    }

    boolean isFor(ServiceId service) {
        return mService.equals(service);
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
    private void reconnect(CallFailure.Kind kind) {
        mAttemptCount--;
        mConnectFailureCount += kind == CallFailure.Kind.WITHDRAWN ? 0 : 1;
        if (mConnectFailureCount >= MAXIMUM_CONNECT_FAILURES
                || mTimes.leftNanos(mFlow.nowNanos()) <= 0) {
            endUnsent("not-connected");
            return;
        }
        attempt();
    }

    private void retryOrEnd(String cause) {
        if (mRetries.tryRepeat(mMayHaveRun, mAttemptCount)) {
            retry();
            return;
        }
        end(cause);
    }

    private void retry() {
        mFlow.log().requestRetried(mFacts);
        attempt();
    }

    private void finishAttempt(ServerLoad server) {
        mSearch.attemptEnded(server);
        mCall = null;
    }

    /** Ends the request at once. */
    void abort(String cause) {
        if (mDone) {
            return;
        }
        if (mCall != null && !mCall.isReadingPaused()) {
            mFeedback.failed(mServer, mFlow.nowNanos());
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
        if (mForwardAttempts.isInFlight()) {
            mMayHaveRun |= mForwardAttempts.cancel();
        }
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
        mAdmitted.responder().answer(answer);
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
