package io.masticpond.entry.request;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.workspace.KeyDigest;
import io.masticpond.core.workspace.Workspace;
import io.masticpond.core.workspace.WorkspaceTable;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.CallerInputs;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.settings.HeaderNames;
import io.masticpond.entry.settings.WorkspaceSettings;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;

/**
 * Authenticator of requests by the keys of workspaces. A request is admitted as long as this
 * instance can prove that it knows the newest keys and the rate of the workspace is not used up.
 * For use on the traffic thread only.
 *
 * @since 0.2
 */
public final class WorkspaceAuthenticator {

    private static final String UNPROVEN = "unproven-keys";
    private static final String UNKNOWN_KEY = "unknown-key";

    /**
     * Retry delay without a current proof. Another instance may have a proof, so the client need
     * not wait for the next proof of this one. It also applies to a forwarded request whose
     * configuration differs here.
     */
    private static final Duration UNPROVEN_RETRY_DELAY = Duration.ofMillis(100);

    /**
     * Retry delay if the workspace may use none of the regions of the route, or if it may be one
     * that could not be read. Only a change of the configuration helps, which is in force within 4
     * s.
     */
    private static final Duration CONFIGURATION_RETRY_DELAY = Duration.ofSeconds(5);

    /**
     * Maximum age of the proof on which an unknown key is answered as unauthorized. With an older
     * proof the key may have been added since, so the client is asked to retry.
     */
    private static final long MAXIMUM_DENIAL_PROOF_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final HeaderNames mNames;
    private final TimeSource mTimeSource;
    private final SharedRates mRates;
    private final DoubleSupplier mRandom;
    private WorkspaceSettings mSettings;
    private Optional<WorkspaceTable> mWorkspaces = Optional.empty();
    private Moment mProof;

    /**
     * Creates an authenticator that knows no workspace.
     *
     * @param names the names of the headers
     * @param timeSource the wall clock and the monotonic clock
     * @param settings the settings of workspaces, among them how long a proof is valid
     * @param rates the rates of the workspaces
     * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public WorkspaceAuthenticator(
            HeaderNames names,
            TimeSource timeSource,
            WorkspaceSettings settings,
            SharedRates rates,
            DoubleSupplier random) {
        mNames = Assert.notNull(names, "Header names");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mSettings = Assert.notNull(settings, "Settings of workspaces");
        mRates = Assert.notNull(rates, "Rates");
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /**
     * Updates the workspaces to those of a configuration.
     *
     * @param routing the configuration
     */
    public void update(RoutingConfiguration routing) {
        if (routing.workspaces().equals(mWorkspaces)) {
            return;
        }
        mWorkspaces = routing.workspaces();
        mRates.update(
                mWorkspaces.map(WorkspaceTable::all).orElse(List.of()),
                mTimeSource.monotonicNanos());
    }

    /**
     * Replaces the settings.
     *
     * @param settings the settings
     */
    public void applySettings(WorkspaceSettings settings) {
        mSettings = settings;
        mRates.applySettings(settings.rates(), mTimeSource.monotonicNanos());
    }

    /**
     * Records a proof that the workspaces in force were the newest.
     *
     * @param moment the moment for which it is proven
     */
    public void recordProof(Moment moment) {
        mProof = moment;
    }

    /**
     * Returns the workspaces in force.
     *
     * @return the workspaces, or empty if requests need no key
     */
    public Optional<WorkspaceTable> workspaces() {
        return mWorkspaces;
    }

    /**
     * Returns the rates of the workspaces.
     *
     * @return the rates
     */
    public SharedRates rates() {
        return mRates;
    }

    /**
     * Returns the age of the proof that the keys are the newest.
     *
     * @return the age in nanoseconds, or {@link RequestRecord#UNKNOWN} if there is no proof
     */
    public long proofAgeNanos() {
        return mProof == null ? RequestRecord.UNKNOWN : mProof.nanosUntil(Moment.of(mTimeSource));
    }

    /**
     * Determines whether requests with keys are admitted.
     *
     * @return whether the proof is recent enough, or none is required
     */
    public boolean isProven() {
        return isProven(proofAgeNanos());
    }

    private boolean isProven(long ageNanos) {
        boolean isRecent =
                ageNanos != RequestRecord.UNKNOWN && ageNanos <= mSettings.proofLimit().toNanos();
        return isRecent || !mSettings.strictRevocation();
    }

    /** Returns the caller of a request, or why the request is not admitted. */
    Either<Rejection, Caller> authenticate(
            IncomingRequest request, Route route, RequestRecord facts) {
        if (route.keyless()) {
            return Either.right(new AnonymousCaller(route));
        }
        String credential = request.headers().get(mNames.credential());
        boolean hasKey = credential != null && !credential.isBlank();
        if (mWorkspaces.isEmpty()) {
            // A key that is presented may have been taken away together with the table.
            return hasKey
                    ? Either.left(Rejection.unauthorized(UNKNOWN_KEY))
                    : Either.right(new AnonymousCaller(route));
        }
        if (!hasKey) {
            return Either.left(Rejection.unauthorized("no-key"));
        }
        KeyDigest key = KeyDigest.of(credential);
        Optional<Workspace> workspace = findByKey(key);
        long ageNanos = proofAgeNanos();
        recordCaller(facts, workspace.orElse(null), ageNanos);
        if (!isProven(ageNanos)) {
            return Either.left(Rejection.unavailable(UNPROVEN, UNPROVEN_RETRY_DELAY));
        }
        if (workspace.isEmpty()) {
            return Either.left(rejectUnknownKey(ageNanos));
        }
        return admit(workspace.get(), key, route);
    }

    /**
     * Returns the caller of a request that another instance forwarded, which has counted it. An
     * unknown key may be one that this instance does not know yet.
     */
    Either<Rejection, Caller> authenticateForwarded(Optional<KeyDigest> key, Route route) {
        boolean isKeyRequired = mWorkspaces.isPresent() || key.isPresent();
        if (route.keyless() || !isKeyRequired) {
            return Either.right(new AnonymousCaller(route));
        }
        Optional<Workspace> workspace = key.flatMap(this::findByKey);
        if (!isProven() || workspace.isEmpty()) {
            return Either.left(Rejection.unavailable(UNPROVEN, UNPROVEN_RETRY_DELAY));
        }
        Optional<Route> restrictedRoute = route.restrictTo(workspace.get());
        if (restrictedRoute.isEmpty()) {
            return Either.left(Rejection.unavailable("no-allowed-region", UNPROVEN_RETRY_DELAY));
        }
        WorkspaceId id = workspace.get().id();
        return Either.right(new KnownCaller(restrictedRoute.get(), id, key.get(), nowNanos -> {}));
    }

    private Optional<Workspace> findByKey(KeyDigest key) {
        return mWorkspaces.flatMap(table -> table.findByKey(key));
    }

    private Either<Rejection, Caller> admit(Workspace workspace, KeyDigest key, Route route) {
        Optional<Route> restrictedRoute = route.restrictTo(workspace);
        if (restrictedRoute.isEmpty()) {
            return Either.left(
                    Rejection.unavailable("no-allowed-region", CONFIGURATION_RETRY_DELAY));
        }
        long now = mTimeSource.monotonicNanos();
        if (!mRates.tryAdmit(workspace.id(), mRandom.getAsDouble(), now)) {
            Duration retryDelay = mRates.retryAfter(workspace.id(), now);
            return Either.left(Rejection.tooManyRequests("over-rate", retryDelay));
        }
        return Either.right(
                new KnownCaller(
                        restrictedRoute.get(),
                        workspace.id(),
                        key,
                        nowNanos -> mRates.sent(workspace.id(), nowNanos)));
    }

    private Rejection rejectUnknownKey(long ageNanos) {
        if (mWorkspaces.filter(WorkspaceTable::isComplete).isEmpty()) {
            return Rejection.unavailable("unreadable-workspace", CONFIGURATION_RETRY_DELAY);
        }
        boolean isConclusive =
                ageNanos != RequestRecord.UNKNOWN && ageNanos <= MAXIMUM_DENIAL_PROOF_AGE_NANOS;
        return isConclusive
                ? Rejection.unauthorized(UNKNOWN_KEY)
                : Rejection.unavailable(UNPROVEN, UNPROVEN_RETRY_DELAY);
    }

    private void recordCaller(RequestRecord facts, Workspace workspace, long ageNanos) {
        WorkspaceId id = workspace == null ? null : workspace.id();
        boolean isLimited = id != null && mRates.isLimited(id);
        long now = mTimeSource.monotonicNanos();
        facts.caller(
                new CallerInputs(
                        id,
                        ageNanos,
                        isLimited,
                        isLimited ? mRates.credit(id) : 0,
                        isLimited ? mRates.demand(id, now) : 0));
    }

    /** Caller of a request that requires no key. */
    private record AnonymousCaller(Route route) implements Caller {

        @Override
        public Optional<WorkspaceId> workspace() {
            return Optional.empty();
        }

        @Override
        public Optional<KeyDigest> key() {
            return Optional.empty();
        }

        @Override
        public Optional<Rejection> rejection() {
            return Optional.empty();
        }

        @Override
        public void recordSent(long nowNanos) {}
    }

    /** Caller of a request whose key belonged to a workspace when the request arrived. */
    private final class KnownCaller implements Caller {

        private final Route mRoute;
        private final WorkspaceId mWorkspace;
        private final KeyDigest mKey;
        private final LongConsumer mSentListener;

        KnownCaller(Route route, WorkspaceId workspace, KeyDigest key, LongConsumer sentListener) {
            mRoute = route;
            mWorkspace = workspace;
            mKey = key;
            mSentListener = sentListener;
        }

        @Override
        public Route route() {
            return mRoute;
        }

        @Override
        public Optional<WorkspaceId> workspace() {
            return Optional.of(mWorkspace);
        }

        @Override
        public Optional<KeyDigest> key() {
            return Optional.of(mKey);
        }

        @Override
        public Optional<Rejection> rejection() {
            if (!isProven()) {
                return Optional.of(Rejection.unavailable(UNPROVEN, UNPROVEN_RETRY_DELAY));
            }
            boolean isValid =
                    findByKey(mKey).map(Workspace::id).filter(mWorkspace::equals).isPresent();
            return isValid ? Optional.empty() : Optional.of(Rejection.unauthorized(UNKNOWN_KEY));
        }

        @Override
        public void recordSent(long nowNanos) {
            mSentListener.accept(nowNanos);
        }
    }
}
