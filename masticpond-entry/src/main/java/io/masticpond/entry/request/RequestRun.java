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
 * One request on its way: at most one attempt at a time, one answer at the end. A request that may
 * have run is tried again only if it is idempotent; what did not run is refused with a promise.
 */
final class RequestRun {

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Connections that fail are no sends; still, no request tries more servers than this. */
    private static final int MOST_CONNECTS = 4;

    private static final Duration COME_BACK = Duration.ofMillis(100);

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
    private final RequestCompletion mEnd;
    private final CrashCheck mCrashCheck;

    /** Null where spending has no cap. */
    private final AttemptCharge mPayment;

    private Future<?> mTimeout;
    private BackendCall mCall;
    private ServerLoad mServer;
    private long mSentNanos;
    private int mSends;
    private int mConnects;
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
            boolean deadlineGiven) {
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
                        request.headers(), flow.names(), deadlineGiven, caller.workspace());
        String key = request.headers().get(flow.names().affinityKey());
        facts.key(key);
        mSearch = new ServerSearch(flow, facts, mRoute, service, key);
        mCrashCheck = new CrashCheck(flow.crashes(), request, facts);
        mEnd = new RequestCompletion(flow.answers(), facts, mRequestId);
        mPayment = AttemptCharge.of(flow.spending(), facts, service);
    }

    void begin() {
        long now = mFlow.nowNanos();
        mFlow.retries().firstAttempt(mService, now);
        mFlow.placer().arrived(mRoute, mService, now);
        long left = mTimes.leftNanos(now);
        if (left <= 0) {
            refuse("deadline-passed");
            return;
        }
        mTimeout = mFlow.eventLoop().schedule(this::timeUp, left, TimeUnit.NANOSECONDS);
        mResponder.onClientDisconnected(this::clientDisconnected);
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
        Placement placement = mSearch.place(servers, mSends > 0, mTimes.leftNanos(now), now);
        if (placement instanceof Placement.Refused refused) {
            refuseForLoad(refused.decision(), servers, now);
            return;
        }
        if (placement instanceof Placement.Throttled unwanted) {
            Duration comeBack = Duration.ofNanos(unwanted.retryAfterNanos());
            endRejected(Rejection.unavailable(unwanted.cause(), comeBack));
            return;
        }
        if (!(placement instanceof Placement.Placed placed)) {
            end("no-backend-server");
            return;
        }
        mSearch.note(placed.choice(), now);
        ServerLoad chosen = placed.choice().load();
        if (payOrEnd(chosen)) {
            send(chosen, now);
        }
    }

    private void refuseForLoad(AdmissionDecision answer, List<ServerLoad> servers, long now) {
        mSearch.explain(servers, mTimes.leftNanos(now), now);
        mFacts.expectedWait(answer.expectedWaitNanos(), answer.longestWaitNanos());
        refuse(Rejection.unavailable("overload", Duration.ofNanos(answer.retryAfterNanos())));
    }

    /** Pays for the next attempt, or ends the request with what is true of it. */
    private boolean payOrEnd(ServerLoad chosen) {
        if (mPayment != null) {
            mPayment.charge(chosen.server().zone())
                    .map(each -> Rejection.unavailable(each.cause(), each.retryAfter()))
                    .ifPresent(this::endRejected);
        }
        return !mDone;
    }

    private void send(ServerLoad chosen, long now) {
        mServer = chosen;
        mSentNanos = now;
        mSends++;
        mSearch.tried(chosen);
        mFlow.placer().sent(chosen, now);
        mCaller.sent(now);
        mFacts.retryBudget(mFlow.retries().left(mService, now));
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
                                mFlow.mostConnections(mService),
                                request,
                                new AttemptListener(mFlow, this, mFacts, chosen, now));
    }

    void answered(ServerLoad server, ServerStatement statement, BackendAnswer answer) {
        long now = mFlow.nowNanos();
        attemptOver(server);
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
            tryAgainOrEnd("bad-answer");
            return;
        }
        mFacts.attemptEnded(AttemptResult.ANSWERED, answer.status(), now);
        mFlow.placer().chooser().answered(mRoute.id(), answer.body().readableBytes());
        boolean failed = answer.status() >= FIRST_SERVER_ERROR;
        if (failed && !statement.isWithdrawing()) {
            mFlow.placer().failed(server, now);
        } else if (!failed) {
            boolean waited = statement.load().filter(load -> load.waiting() > 0).isPresent();
            mFlow.placer().succeeded(server, now - mSentNanos, waited, now);
            mCrashCheck.answered();
        }
        if (failed && mRoute.idempotent() && mayTryAgain(now)) {
            answer.body().release();
            mMayHaveRun = true;
            retry();
            return;
        }
        respond(mEnd.forwarded(answer, now));
    }

    private void rejectedByServer(ServerLoad server, int status, ServerStatement told, long now) {
        if (status == MISDIRECTED) {
            mFlow.placer().misdirected(server, now);
        } else if (!told.isWithdrawing()) {
            mFlow.placer().rejectedByServer(server, told.load(), now);
        }
        tryAgainOrEnd("turned-away");
    }

    void failed(ServerLoad server, CallFailure failure) {
        long now = mFlow.nowNanos();
        attemptOver(server);
        mFacts.attemptEnded(AttemptResult.of(failure), 0, now);
        if (failure.kind() == CallFailure.Kind.NOT_CONNECTED) {
            mFlow.placer().unreachable(server, now);
        }
        if (failure.kind().isServerFailure()) {
            mFlow.placer().failed(server, now);
        }
        if (failure.verdict() == Verdict.DID_NOT_RUN) {
            refundCharge();
            connectAgain();
            return;
        }
        mMayHaveRun = true;
        if (failure.kind() == CallFailure.Kind.BROKEN_OFF) {
            mCrashCheck.brokenOff(server.server(), mSentNanos, now);
        }
        if (failure.kind() == CallFailure.Kind.TIMED_OUT) {
            timeUp();
            return;
        }
        tryAgainOrEnd("broken-off");
    }

    /** Servers end under requests like this one, or its key or the proof of it has gone. */
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

    /** Hears that a request is rejected from now on; this one may be the same. */
    void rejected(RequestFingerprint request) {
        if (!mDone && mCrashCheck.isFor(request)) {
            giveUpCall();
            endRejected(mCrashCheck.reportedRejection());
        }
    }

    /** Nothing reached the server, so neither the budget nor the route's attempts are used. */
    private void connectAgain() {
        mSends--;
        mConnects++;
        if (mConnects >= MOST_CONNECTS || mTimes.leftNanos(mFlow.nowNanos()) <= 0) {
            end("not-connected");
            return;
        }
        attempt();
    }

    private void tryAgainOrEnd(String cause) {
        long now = mFlow.nowNanos();
        boolean allowed = !mMayHaveRun || (mRoute.idempotent() && !mCrashCheck.isSuspected());
        if (allowed && mayTryAgain(now)) {
            retry();
            return;
        }
        end(cause);
    }

    private boolean mayTryAgain(long now) {
        return mSends < mRoute.maximumAttempts()
                && mTimes.leftNanos(now) > 0
                && mFlow.retries().tryRetry(mService, now);
    }

    private void retry() {
        mFlow.log().requestRetried(mFacts);
        attempt();
    }

    private void refundCharge() {
        if (mPayment != null) {
            mPayment.refund();
        }
    }

    private void attemptOver(ServerLoad server) {
        server.requestEnded();
        mCall = null;
    }

    /** Ends the request at once since this instance stops. */
    void stop() {
        giveUp("stopping");
    }

    private void timeUp() {
        giveUp("timeout");
    }

    private void giveUp(String cause) {
        if (mDone) {
            return;
        }
        if (mCall != null) {
            mFlow.placer().failed(mServer, mFlow.nowNanos());
        }
        giveUpCall();
        end(cause);
    }

    private void clientDisconnected() {
        if (mDone) {
            return;
        }
        giveUpCall();
        finish();
        mFacts.clientDisconnected(mFlow.nowNanos());
        mFlow.ended(this, mFacts);
    }

    private void giveUpCall() {
        if (mCall == null) {
            return;
        }
        mMayHaveRun |= mCall.isWritten();
        mFacts.attemptEnded(AttemptResult.CANCELLED, 0, mFlow.nowNanos());
        mCall.cancel();
        attemptOver(mServer);
    }

    private void end(String cause) {
        if (!mMayHaveRun) {
            refuse(cause);
            return;
        }
        long now = mFlow.nowNanos();
        respond(mEnd.uncertain(cause, mTimes.leftNanos(now) <= 0, now));
    }

    private void refuse(String cause) {
        refuse(Rejection.unavailable(cause, COME_BACK));
    }

    private void refuse(Rejection rejection) {
        respond(mEnd.notRun(rejection, mFlow.nowNanos()));
    }

    private void respond(OutgoingAnswer answer) {
        finish();
        mResponder.answer(answer);
        mFlow.ended(this, mFacts);
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
