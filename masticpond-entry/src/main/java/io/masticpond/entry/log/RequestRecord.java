package io.masticpond.entry.log;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.statement.ServerStatement;
import java.util.EnumMap;
import java.util.Map;

/**
 * Collects the facts of one request while it is decided on, for the one line at its end. Belongs to
 * the traffic thread until it is handed to {@link DecisionLog#requestEnded}, and to nobody but the
 * log from then on.
 *
 * @since 0.2
 */
public final class RequestRecord {

    /** How many candidates of a choice are kept; further ones are only counted. */
    public static final int MAXIMUM_CANDIDATES = 8;

    /** Stands for an age, version or budget that is not known. */
    public static final long UNKNOWN = -1;

    private static final int FIRST_ERROR_STATUS = 500;

    final String mRequestId;
    final long mArrivalNanos;
    RouteId mRoute;
    RouteKind mKind = RouteKind.NONE;
    String mKey;
    RequestFingerprint mFingerprint;
    ServiceId mService;
    long mDeadlineNanos;
    long mTargetMillis = UNKNOWN;
    long mRoutingVersion = UNKNOWN;
    long mRoutingAgeNanos = UNKNOWN;
    long mRegistryRevision = UNKNOWN;
    long mRegistryAgeNanos = UNKNOWN;
    int mShareholders;
    long mPeersAgeNanos = UNKNOWN;
    final CandidateServers mWeighed = new CandidateServers();
    Map<Exclusion, Integer> mExcluded;
    final AttemptList mAttempts = new AttemptList();
    double mRetryBudget = UNKNOWN;
    long mWaitNanos = UNKNOWN;
    long mLongestWaitNanos;
    SpendingInputs mSpending;
    RequestOutcome mOutcome = RequestOutcome.OPEN;
    String mCause;
    CallerFacts mCaller;
    int mStatus;
    long mRetryAfterMillis = UNKNOWN;
    long mEndNanos;

    /**
     * Begins the facts of a request.
     *
     * @param requestId the id as the client gave it, or as this instance made it; may hold anything
     * @param arrivalNanos the monotonic time of its arrival
     */
    public RequestRecord(String requestId, long arrivalNanos) {
        mRequestId = requestId;
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = arrivalNanos;
    }

    /**
     * Notes the route.
     *
     * @param route the route
     * @param service the service picked, or null for a request that is not let in
     * @param targetMillis within how long an answer is in time
     * @param deadlineNanos the monotonic time at which the client's time is up
     */
    public void routed(RouteId route, ServiceId service, long targetMillis, long deadlineNanos) {
        mRoute = route;
        mTargetMillis = targetMillis;
        mService = service;
        mDeadlineNanos = deadlineNanos;
    }

    /**
     * Notes whether the route allows repeats.
     *
     * @param kind the kind of route
     */
    public void kind(RouteKind kind) {
        mKind = kind;
    }

    /**
     * Gives the kind of route.
     *
     * @return the kind, none if no route was found
     */
    public RouteKind kind() {
        return mKind;
    }

    /**
     * Notes the object that the request is about.
     *
     * @param key the affinity key as the client gave it, or null
     */
    public void key(String key) {
        mKey = key;
    }

    /** Notes whose request it is, and what let it in or kept it out. */
    public void caller(CallerFacts caller) {
        mCaller = caller;
    }

    /**
     * Gives the workspace whose request it is.
     *
     * @return the workspace, or null if none is known
     */
    public WorkspaceId workspace() {
        return mCaller == null ? null : mCaller.workspace();
    }

    /**
     * Notes what the request asks for, so that its repeats can be found.
     *
     * @param fingerprint its fingerprint
     */
    public void fingerprint(RequestFingerprint fingerprint) {
        mFingerprint = fingerprint;
    }

    /**
     * Notes which routes the decisions rest on.
     *
     * @param version the version in force
     * @param ageNanos how long ago anyone last said that it is the newest, or {@link #UNKNOWN}
     */
    public void routing(long version, long ageNanos) {
        mRoutingVersion = version;
        mRoutingAgeNanos = ageNanos;
    }

    /**
     * Notes which snapshot of the backend servers the decisions rest on.
     *
     * @param revision the revision of the store
     * @param ageNanos how old the news is, or {@link #UNKNOWN}
     */
    public void registry(long revision, long ageNanos) {
        mRegistryRevision = revision;
        mRegistryAgeNanos = ageNanos;
    }

    /**
     * Notes what was known of the other instances.
     *
     * @param shareholders among how many instances common limits are divided
     * @param ageNanos how old the oldest news of an instance that counts is, or {@link #UNKNOWN}
     */
    public void peers(int shareholders, long ageNanos) {
        mShareholders = shareholders;
        mPeersAgeNanos = ageNanos;
    }

    /** Begins a choice of a backend server: what the one before weighed is forgotten. */
    public void beginSelection() {
        mWeighed.clear();
        if (mExcluded != null) {
            mExcluded.clear();
        }
    }

    /**
     * Notes a candidate of the choice, best first if they are known in order.
     *
     * @param server the backend server
     * @param inFlight how many requests are believed to be at work there
     * @param slots how many it runs at one time
     * @param score what the choice made of it; the highest is chosen
     */
    public void candidate(BackendServerId server, int inFlight, int slots, double score) {
        mWeighed.add(server, inFlight, slots, score);
    }

    /**
     * Counts a backend server that was no candidate.
     *
     * @param why why not
     */
    public void excluded(Exclusion why) {
        if (mExcluded == null) {
            mExcluded = new EnumMap<>(Exclusion.class);
        }
        mExcluded.merge(why, 1, Integer::sum);
    }

    /**
     * Notes what is left of the budget for retries.
     *
     * @param left how many retries may still be made now
     */
    public void retryBudget(double left) {
        mRetryBudget = left;
    }

    /**
     * Notes the wait for a slot at the chosen backend server, which is too long.
     *
     * @param nanos the wait as expected
     * @param longestNanos how long it may be
     */
    public void expectedWait(long nanos, long longestNanos) {
        mWaitNanos = nanos;
        mLongestWaitNanos = longestNanos;
    }

    /**
     * Notes why an attempt was not paid for.
     *
     * @param inputs what decided it
     */
    public void chargeRefused(SpendingInputs inputs) {
        mSpending = inputs;
    }

    /**
     * Notes that the request is sent to a backend server.
     *
     * @param server the server
     * @param zone its zone
     * @param cold whether it is cold
     * @param nowNanos the monotonic time
     */
    public void sent(BackendServerId server, ZoneId zone, boolean cold, long nowNanos) {
        mAttempts.add(server, zone, cold, nowNanos);
    }

    /**
     * Notes what the server states of itself in the answer to the newest attempt; does nothing if
     * there is no attempt.
     *
     * @param statement what it states
     */
    public void stated(ServerStatement statement) {
        Attempt attempt = mAttempts.last();
        if (attempt != null) {
            attempt.mStatement = statement;
        }
    }

    /**
     * Notes how the newest attempt ended; does nothing if there is none.
     *
     * @param result how
     * @param status the status of the answer, 0 if there is none
     * @param nowNanos the monotonic time
     */
    public void attemptEnded(AttemptResult result, int status, long nowNanos) {
        Attempt attempt = mAttempts.last();
        if (attempt == null) {
            return;
        }
        attempt.mResult = result;
        attempt.mStatus = status;
        attempt.mEndNanos = nowNanos;
    }

    /**
     * Ends the request: the answer of a backend server is passed on.
     *
     * @param status its status
     * @param nowNanos the monotonic time
     */
    public void answered(int status, long nowNanos) {
        end(RequestOutcome.ANSWERED, null, status, nowNanos);
    }

    /**
     * Ends the request: it has not run and the client is told so.
     *
     * @param cause the cause, from a fixed set of words
     * @param status the status of the refusal
     * @param retryAfterMillis when the client may come back, or {@link #UNKNOWN}
     * @param nowNanos the monotonic time
     */
    public void refused(String cause, int status, long retryAfterMillis, long nowNanos) {
        mRetryAfterMillis = retryAfterMillis;
        end(RequestOutcome.REFUSED, cause, status, nowNanos);
    }

    /**
     * Ends the request: it may have run, but there is no answer to pass on.
     *
     * @param cause the cause, from a fixed set of words
     * @param status the status that the client gets
     * @param nowNanos the monotonic time
     */
    public void gaveUp(String cause, int status, long nowNanos) {
        end(RequestOutcome.GAVE_UP, cause, status, nowNanos);
    }

    /**
     * Ends the request: the client has closed its connection.
     *
     * @param nowNanos the monotonic time
     */
    public void clientDisconnected(long nowNanos) {
        end(RequestOutcome.CLIENT_GONE, null, 0, nowNanos);
    }

    /**
     * Tells how the request ended.
     *
     * @return how, or that it is open
     */
    public RequestOutcome outcome() {
        return mOutcome;
    }

    /**
     * Tells whether the end is what is hoped for: answered at the first attempt and no server
     * error. Lines of such requests are left out first.
     *
     * @return whether it is
     */
    public boolean isPlain() {
        return mOutcome == RequestOutcome.ANSWERED
                && mStatus < FIRST_ERROR_STATUS
                && mAttempts.size() <= 1;
    }

    /**
     * Gives the route.
     *
     * @return the route, or null if none was found
     */
    public RouteId route() {
        return mRoute;
    }

    /**
     * Gives why the request was refused or given up.
     *
     * @return the cause, or null if it was neither
     */
    public String cause() {
        return mCause;
    }

    /**
     * Tells how long the request took.
     *
     * @return nanoseconds from its arrival to its end
     */
    public long durationNanos() {
        return mEndNanos - mArrivalNanos;
    }

    /**
     * Counts the sends to backend servers.
     *
     * @return the count
     */
    public int attempts() {
        return mAttempts.size();
    }

    /**
     * Tells how a send ended.
     *
     * @param index its place, 0 being the first
     * @return how
     */
    public AttemptResult attemptResult(int index) {
        return mAttempts.get(index).mResult;
    }

    /**
     * Tells how long a send took.
     *
     * @param index its place, 0 being the first
     * @return nanoseconds from the send to its end
     */
    public long attemptNanos(int index) {
        return mAttempts.get(index).mEndNanos - mAttempts.get(index).mSentNanos;
    }

    private void end(RequestOutcome outcome, String cause, int status, long nowNanos) {
        mOutcome = outcome;
        mCause = cause;
        mStatus = status;
        mEndNanos = nowNanos;
    }
}
