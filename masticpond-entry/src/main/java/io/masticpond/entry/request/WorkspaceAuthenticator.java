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
import io.masticpond.entry.log.CallerFacts;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.settings.HeaderNames;
import io.masticpond.entry.settings.WorkspaceSettings;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Lets in the requests whose key opens a workspace, as long as this instance can prove that the
 * keys it knows are the newest and the workspace's rate is not used up. Traffic thread only.
 *
 * @since 0.2
 */
public final class WorkspaceAuthenticator {

    private static final String UNPROVEN = "unproven-keys";

    /** The next instance may have a proof, so the client need not wait for this one's. */
    private static final Duration UNTIL_PROVEN = Duration.ofMillis(100);

    /** A key may have been added after an older proof than this, so it is not denied for good. */
    private static final long DENIAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final HeaderNames mNames;
    private final TimeSource mTimeSource;
    private final SharedRates mRates;
    private final DoubleSupplier mDraws;
    private WorkspaceSettings mSettings;
    private WorkspaceTable mWorkspaces = WorkspaceTable.EMPTY;
    private Moment mProof;

    /**
     * Makes an authenticator that knows no workspace.
     *
     * @param names the names of the headers
     * @param timeSource the clocks
     * @param settings for how long a proof holds
     * @param rates the rates of the workspaces
     * @param draws random numbers from 0 up to 1
     */
    public WorkspaceAuthenticator(
            HeaderNames names,
            TimeSource timeSource,
            WorkspaceSettings settings,
            SharedRates rates,
            DoubleSupplier draws) {
        mNames = Assert.notNull(names, "Header names");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mSettings = Assert.notNull(settings, "Settings of workspaces");
        mRates = Assert.notNull(rates, "Rates");
        mDraws = Assert.notNull(draws, "A source of random numbers");
    }

    /**
     * Takes the workspaces now in force.
     *
     * @param routing the configuration
     */
    public void update(RoutingConfiguration routing) {
        if (routing.workspaces() == mWorkspaces) {
            return;
        }
        mWorkspaces = routing.workspaces();
        mRates.update(mWorkspaces.all(), mTimeSource.monotonicNanos());
    }

    /**
     * Takes other settings.
     *
     * @param settings the settings
     */
    public void applySettings(WorkspaceSettings settings) {
        mSettings = settings;
        mRates.applySettings(settings.rates(), mTimeSource.monotonicNanos());
    }

    /**
     * Takes a proof that the workspaces in force were the newest.
     *
     * @param moment the moment of which it is proven
     */
    public void recordProof(Moment moment) {
        mProof = moment;
    }

    /**
     * Gives the workspaces in force.
     *
     * @return the workspaces
     */
    public WorkspaceTable workspaces() {
        return mWorkspaces;
    }

    /**
     * Gives the rates of the workspaces.
     *
     * @return the rates
     */
    public SharedRates rates() {
        return mRates;
    }

    /**
     * Tells how old the proof is that the keys are the newest.
     *
     * @return nanoseconds, or {@link RequestRecord#UNKNOWN} if there was none
     */
    public long proofAgeNanos() {
        return mProof == null ? RequestRecord.UNKNOWN : mProof.nanosUntil(Moment.of(mTimeSource));
    }

    /**
     * Tells whether requests with keys are let in.
     *
     * @return whether the proof is young enough, or none is asked for
     */
    public boolean isProven() {
        return isProven(proofAgeNanos());
    }

    private boolean isProven(long ageNanos) {
        boolean isYoung =
                ageNanos != RequestRecord.UNKNOWN && ageNanos <= mSettings.proofLimit().toNanos();
        return isYoung || !mSettings.strictRevocation();
    }

    /** Finds whose request it is, or says why it is not let in. */
    Either<Rejection, Caller> authenticate(
            IncomingRequest request, Route route, RequestRecord facts) {
        if (mWorkspaces.isEmpty() || route.keyless()) {
            return Either.right(new Open(route));
        }
        String text = request.headers().get(mNames.credential());
        if (text == null || text.isBlank()) {
            return Either.left(Rejection.unauthorized("no-key"));
        }
        KeyDigest key = KeyDigest.of(text);
        Optional<Workspace> opened = mWorkspaces.findByKey(key);
        long ageNanos = proofAgeNanos();
        note(facts, opened.orElse(null), ageNanos);
        if (!isProven(ageNanos)) {
            return Either.left(Rejection.unavailable(UNPROVEN, UNTIL_PROVEN));
        }
        if (opened.isEmpty()) {
            return Either.left(unknown(ageNanos));
        }
        return admit(opened.get(), key, route);
    }

    private Either<Rejection, Caller> admit(Workspace workspace, KeyDigest key, Route route) {
        Optional<Route> narrowed = route.within(workspace);
        if (narrowed.isEmpty()) {
            return Either.left(Rejection.unavailable("no-allowed-region", UNTIL_PROVEN));
        }
        long now = mTimeSource.monotonicNanos();
        if (!mRates.tryAdmit(workspace.id(), mDraws.getAsDouble(), now)) {
            Duration pause = mRates.retryAfter(workspace.id(), now);
            return Either.left(Rejection.tooMany("over-rate", pause));
        }
        return Either.right(new Known(narrowed.get(), workspace.id(), key));
    }

    private static Rejection unknown(long ageNanos) {
        boolean isSure = ageNanos != RequestRecord.UNKNOWN && ageNanos <= DENIAL_NANOS;
        return isSure
                ? Rejection.unauthorized("unknown-key")
                : Rejection.unavailable(UNPROVEN, UNTIL_PROVEN);
    }

    private void note(RequestRecord facts, Workspace workspace, long ageNanos) {
        WorkspaceId id = workspace == null ? null : workspace.id();
        boolean isLimited = id != null && mRates.isLimited(id);
        long now = mTimeSource.monotonicNanos();
        facts.caller(
                new CallerFacts(
                        id,
                        ageNanos,
                        isLimited,
                        isLimited ? mRates.credit(id) : 0,
                        isLimited ? mRates.demand(id, now) : 0));
    }

    /** A request for which no key is asked. */
    private record Open(Route route) implements Caller {

        @Override
        public Optional<WorkspaceId> workspace() {
            return Optional.empty();
        }

        @Override
        public Optional<Rejection> rejection() {
            return Optional.empty();
        }

        @Override
        public void sent(long nowNanos) {}
    }

    /** A request whose key opened a workspace when it came. */
    private final class Known implements Caller {

        private final Route mRoute;
        private final WorkspaceId mWorkspace;
        private final KeyDigest mKey;

        Known(Route route, WorkspaceId workspace, KeyDigest key) {
            mRoute = route;
            mWorkspace = workspace;
            mKey = key;
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
        public Optional<Rejection> rejection() {
            if (!isProven()) {
                return Optional.of(Rejection.unavailable(UNPROVEN, UNTIL_PROVEN));
            }
            boolean opens =
                    mWorkspaces
                            .findByKey(mKey)
                            .map(Workspace::id)
                            .filter(mWorkspace::equals)
                            .isPresent();
            return opens ? Optional.empty() : Optional.of(Rejection.unauthorized("unknown-key"));
        }

        @Override
        public void sent(long nowNanos) {
            mRates.sent(mWorkspace, nowNanos);
        }
    }
}
