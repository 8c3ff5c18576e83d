package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.reachability.ReachabilityEvidence;
import io.masticpond.core.reachability.ReachabilityView;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.forward.ForwardedRequestHandler;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;

/**
 * {@link RequestHandler} for the requests of clients. It finds the route, then has a {@link
 * RequestRun} try backend servers until there is one answer, which states truthfully whether the
 * request ran. For use on the traffic thread only.
 *
 * @since 0.2
 */
public final class RequestFlow implements RequestHandler {

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final HeaderNames mNames;
    private final BackendConnections mConnections;
    private final ServerTable mServers;
    private final RequestPlacer mPlacer;
    private final ColdGate mColdGate;
    private final RetryAllowance mRetries;
    private final RequestAdmission mAdmission;
    private final IntSupplier mShareholders;
    private final Optional<SpendingCheck> mSpending;
    private final WorkspaceAuthenticator mAuthenticator;
    private final ServerStatements mStatements;
    private final DecisionLog mLog;
    private final EntryAnswers mAnswers;
    private final CrashGuard mCrashes;
    private EntryState mState = EntryState.EMPTY;
    private volatile UpdateTimes mUpdateTimes;
    private final Set<RequestRun> mRuns = new HashSet<>();
    private final HeldRequests mHeld;
    private final RequestForwarding mForwarding = new RequestForwarding();
    private boolean mHasKnownServers;
    private boolean mEnded;

    /**
     * Creates the flow.
     *
     * @param eventLoop the traffic thread
     * @param timeSource the monotonic clock
     * @param names the names of the headers
     * @param connections the connections to backend servers
     * @param servers the backend servers with their loads
     * @param placer selects the server of a request
     * @param coldGate limits the requests to cold servers
     * @param retries the retry budget
     * @param split selects a service of a route
     * @param shareholders the number of instances that share common limits
     * @param spending charges attempts, empty if spending has no cap
     * @param authenticator authenticates the callers of workspaces
     * @param statements the statements of servers
     * @param log the log of decisions
     */
    public RequestFlow(
            EventLoop eventLoop,
            TimeSource timeSource,
            HeaderNames names,
            BackendConnections connections,
            ServerTable servers,
            RequestPlacer placer,
            ColdGate coldGate,
            RetryAllowance retries,
            Function<Route, ServiceId> split,
            IntSupplier shareholders,
            Optional<SpendingCheck> spending,
            WorkspaceAuthenticator authenticator,
            ServerStatements statements,
            DecisionLog log) {
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mNames = Assert.notNull(names, "Header names");
        mConnections = Assert.notNull(connections, "Backend connections");
        mServers = Assert.notNull(servers, "A server table");
        mPlacer = Assert.notNull(placer, "A request placer");
        mColdGate = Assert.notNull(coldGate, "A cold gate");
        mRetries = Assert.notNull(retries, "A retry allowance");
        mAdmission = new RequestAdmission(this, Assert.notNull(split, "A split among services"));
        mShareholders = Assert.notNull(shareholders, "A count of shareholders");
        mSpending = Assert.notNull(spending, "A check of spending");
        mAuthenticator = Assert.notNull(authenticator, "An authenticator");
        mStatements = Assert.notNull(statements, "The statements of servers");
        mLog = Assert.notNull(log, "A decision log");
        mAnswers = new EntryAnswers(names);
        mCrashes =
                new CrashGuard(
                        eventLoop,
                        timeSource,
                        connections,
                        mForwarding.monitor()::state,
                        hash -> Optional.ofNullable(mServers.byHash(hash)).map(ServerLoad::server),
                        log,
                        this::onRejected);
        mConnections.setIdleResetListener(this::onIdleReset);
        mHeld = new HeldRequests(eventLoop, this::onHoldTimeout, this::onHeldClientDisconnected);
    }

    /**
     * Applies a new snapshot.
     *
     * @param state the snapshot with its routes
     */
    public void update(EntryState state) {
        mState = state;
        for (RegisteredServer removed : mServers.update(state.snapshot(), nowNanos())) {
            mConnections.removeServer(removed);
            mPlacer.chooser().outlierDetector().remove(removed.service(), removed.id());
        }
        mStatements.update(state.snapshot());
        mPlacer.chooser().outlierDetector().retain(state.snapshot().servers().keySet());
        state.snapshot().routing().ifPresent(mAuthenticator::update);
        mForwarding.monitor().update(mServers.services(), nowNanos());
        mHasKnownServers |= !state.snapshot().servers().isEmpty();
        if (isReady()) {
            mHeld.release(this::process);
        }
    }

    /**
     * Sets the times at which the snapshot was last confirmed. Safe for use by any thread.
     *
     * @param times the times
     */
    public void setUpdateTimes(UpdateTimes times) {
        mUpdateTimes = times;
    }

    /**
     * Returns the snapshot on which requests are decided.
     *
     * @return the state
     */
    public EntryState state() {
        return mState;
    }

    /**
     * Returns the number of requests without an answer.
     *
     * @return the count
     */
    public int openRequests() {
        return mRuns.size() + mHeld.size();
    }

    /** Ends all requests at once. Each answer states whether the request may have run. */
    public void endAll() {
        mEnded = true;
        mHeld.release(this::refuseStopping);
        for (RequestRun run : List.copyOf(mRuns)) {
            run.abort("stopping");
        }
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        String id = request.headers().get(mNames.requestId());
        RequestRecord facts = new RequestRecord(id == null ? "" : id, request.beginNanos());
        facts.peers(mShareholders.getAsInt(), RequestRecord.UNKNOWN);
        if (mEnded) {
            refuseStopping(request, responder, facts);
        } else if (isReady()) {
            process(request, responder, facts);
        } else {
            long left = RequestTimes.untilDeadlineNanos(request, mNames, nowNanos());
            mHeld.hold(request, responder, facts, left);
        }
    }

    /** Determines whether routes are known and any servers have been known since the start. */
    private boolean isReady() {
        return mState.routes().isPresent() && mHasKnownServers;
    }

    private void refuseStopping(IncomingRequest request, Responder responder, RequestRecord facts) {
        refuse(request, responder, facts, RequestAdmission.unconfigured("stopping"));
    }

    /** Refuses the request if no routes are known. Processes it even if no servers are known. */
    private void onHoldTimeout(IncomingRequest request, Responder responder, RequestRecord facts) {
        if (mState.routes().isPresent()) {
            process(request, responder, facts);
        } else {
            refuse(request, responder, facts, RequestAdmission.unconfigured("not-ready"));
        }
    }

    private void onHeldClientDisconnected(
            IncomingRequest request, Responder responder, RequestRecord facts) {
        request.body().release();
        facts.clientDisconnected(nowNanos());
        mLog.requestEnded(facts);
    }

    private void process(IncomingRequest request, Responder responder, RequestRecord facts) {
        mAdmission.admit(request, responder, facts, mUpdateTimes);
    }

    void startForwarded(
            IncomingRequest request,
            Responder responder,
            RequestRecord facts,
            Caller caller,
            ForwardTerms terms) {
        mAdmission.startForwarded(request, responder, facts, caller, terms, mUpdateTimes);
    }

    void begin(AdmittedRequest admitted) {
        RequestRun run = new RequestRun(this, admitted);
        mRuns.add(run);
        run.begin();
    }

    void refuse(
            IncomingRequest request,
            Responder responder,
            RequestRecord facts,
            Rejection rejection) {
        request.body().release();
        responder.answer(new RequestCompletion(this, facts, request).notRun(rejection, nowNanos()));
        mLog.requestEnded(facts);
    }

    long nowNanos() {
        return mTimeSource.monotonicNanos();
    }

    void onRunEnded(RequestRun run, RequestRecord facts) {
        mRuns.remove(run);
        mLog.requestEnded(facts);
    }

    EventLoop eventLoop() {
        return mEventLoop;
    }

    HeaderNames names() {
        return mNames;
    }

    BackendConnections connections() {
        return mConnections;
    }

    /**
     * Returns the backend servers with their loads.
     *
     * @return the table
     */
    public ServerTable servers() {
        return mServers;
    }

    /**
     * Returns the placer, which selects the server of a request.
     *
     * @return the placer
     */
    public RequestPlacer placer() {
        return mPlacer;
    }

    /**
     * Returns the authenticator of the callers of workspaces.
     *
     * @return the authenticator
     */
    public WorkspaceAuthenticator authenticator() {
        return mAuthenticator;
    }

    /**
     * Returns the guard that keeps crashing requests away from further servers.
     *
     * @return the guard
     */
    public CrashGuard crashGuard() {
        return mCrashes;
    }

    /**
     * Returns the statements of backend servers.
     *
     * @return the statements
     */
    public ServerStatements statements() {
        return mStatements;
    }

    private void onIdleReset(RegisteredServer server) {
        mForwarding.recordIdleReset(server, mConnections, nowNanos());
        mCrashes.recordIdleReset(server);
    }

    /** Ends the copies of a rejected request that wait at servers, before the servers run them. */
    private void onRejected(RequestFingerprint request) {
        List.copyOf(mRuns).forEach(run -> run.onRejected(request));
    }

    /**
     * Returns the forwarding of requests between instances.
     *
     * @return the forwarding
     */
    public RequestForwarding forwarding() {
        return mForwarding;
    }

    /**
     * Returns the handler of the requests that other instances forward.
     *
     * @return the handler
     */
    public ForwardedRequestHandler forwardedRequests() {
        return new ForwardedRequests(this);
    }

    /**
     * Forwards the pending requests of a service that this instance no longer reaches, unless its
     * older connections may still bring their answers.
     *
     * @param view the view of the service
     */
    public void forwardPending(ReachabilityView view) {
        if (view.evidence() != ReachabilityEvidence.PROBES_UNANSWERED) {
            return;
        }
        List.copyOf(mRuns).stream()
                .filter(run -> run.isFor(view.service()))
                .forEach(RequestRun::onServiceUnreachable);
    }

    /** Returns why no request can be processed now, or empty if requests can be. */
    Optional<String> obstacle() {
        if (mEnded) {
            return Optional.of("stopping");
        }
        return isReady() ? Optional.empty() : Optional.of("not-ready");
    }

    ColdGate coldGate() {
        return mColdGate;
    }

    RetryAllowance retries() {
        return mRetries;
    }

    /**
     * Returns the check that charges attempts.
     *
     * @return the check, or empty if spending has no cap
     */
    public Optional<SpendingCheck> spending() {
        return mSpending;
    }

    DecisionLog log() {
        return mLog;
    }

    EntryAnswers answers() {
        return mAnswers;
    }

    /** Returns this instance's share of the maximum of connections to a server, at least 2. */
    int connectionShare(ServiceId service) {
        int all = mState.rules(service).map(ServiceRules::maximumConnections).orElse(1);
        return Math.max(2, all / Math.max(1, mShareholders.getAsInt()));
    }
}
