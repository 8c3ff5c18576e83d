package io.masticpond.entry.request;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.Placement;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChoice;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.support.HashMixer;
import io.masticpond.entry.log.CandidateFigures;
import io.masticpond.entry.log.Exclusion;
import io.masticpond.entry.log.RequestRecord;
import io.netty.buffer.ByteBuf;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Selector of the backend server for each attempt of one request. For use on the traffic thread
 * only.
 */
final class ServerSearch {

    private final RequestFlow mFlow;
    private final RequestRecord mFacts;
    private final Caller mCaller;
    private final Route mRoute;
    private final ServiceId mService;
    private final long mKeyHash;
    private final int mBodyBytes;
    private final Set<BackendServerId> mTried = new HashSet<>();
    private final Set<BackendServerId> mWithoutPermit = new HashSet<>();
    private ServerChoice mChosen;

    ServerSearch(
            RequestFlow flow,
            RequestRecord facts,
            Caller caller,
            ServiceId service,
            String key,
            ByteBuf body) {
        mFlow = flow;
        mFacts = facts;
        mCaller = caller;
        mRoute = caller.route();
        mService = service;
        mKeyHash = keyHash(key, mRoute);
        mBodyBytes = body.readableBytes();
    }

    private static long keyHash(String key, Route route) {
        if (key == null || !route.affinity()) {
            return ThreadLocalRandom.current().nextLong();
        }
        return HashMixer.hash(key);
    }

    /** Places the request. A retry does not pass the admission gate again. */
    Placement place(List<ServerLoad> servers, boolean sentBefore, long leftNanos, long now) {
        mWithoutPermit.clear();
        mFacts.beginSelection();
        UsableServers candidates = new UsableServers(now, true);
        Placement placement = place(servers, sentBefore, leftNanos, candidates);
        if (!(placement instanceof Placement.NoServer)) {
            return placement;
        }
        if (candidates.mSkippedReturning) {
            return place(servers, sentBefore, leftNanos, new UsableServers(now, false));
        }
        return candidates.isEachPaused()
                ? new Placement.Paused(candidates.mShortestPauseNanos)
                : placement;
    }

    private Placement place(
            List<ServerLoad> servers,
            boolean sentBefore,
            long leftNanos,
            UsableServers candidates) {
        PlacementRequest request = toPlacementRequest(leftNanos);
        RequestPlacer placer = mFlow.placer();
        return sentBefore
                ? placer.placeAgain(request, servers, candidates, candidates.mNow)
                : placer.place(request, servers, candidates, candidates.mNow);
    }

    private PlacementRequest toPlacementRequest(long leftNanos) {
        return new PlacementRequest(mRoute, mService, mKeyHash, mCaller.workspace(), leftNanos);
    }

    /**
     * Records the servers of the last choice, the chosen one first, for a request that is refused.
     */
    void recordRankedCandidates(List<ServerLoad> servers, long leftNanos, long now) {
        mFacts.beginSelection();
        List<ServerLoad> usable = servers.stream().filter(load -> isUsable(load, now)).toList();
        for (ServerChoice each :
                mFlow.placer().chooser().ranked(usable, toPlacementRequest(leftNanos), now)) {
            recordCandidate(each, now);
        }
    }

    /** Records the chosen server. */
    void recordChosen(ServerChoice choice, long now) {
        mChosen = choice;
        recordCandidate(choice, now);
    }

    /** Records a successful answer of the chosen server, and the load that it reported with it. */
    void succeeded(ServerLoad load, Optional<ReportedLoad> reported, long nanos, long now) {
        boolean waited = reported.filter(each -> each.waiting() > 0).isPresent();
        mFlow.placer().succeeded(mRoute, load, nanos, waited, now);
        if (mChosen.load() == load) {
            long roundTripNanos = mFlow.connections().roundTripNanos(load.server());
            mFlow.placer()
                    .chooser()
                    .speeds()
                    .recordRun(mChosen, mRoute.id(), reported, nanos, roundTripNanos, now);
        }
    }

    /** Records a server that was considered. */
    void recordCandidate(ServerChoice choice, long now) {
        ServerLoad load = choice.load();
        int inFlight = (int) Math.round(load.inFlight(now));
        int slots = load.server().slots();
        CandidateFigures figures =
                choice.expected()
                        .map(
                                expected ->
                                        new CandidateFigures(
                                                inFlight,
                                                slots,
                                                choice.score(),
                                                (long) expected.totalNanos(),
                                                expected.speedAgeNanos()))
                        .orElseGet(() -> new CandidateFigures(inFlight, slots, choice.score()));
        mFacts.candidate(load.server().id(), figures);
    }

    /** Records that the request was sent to a server, so that the server is not chosen again. */
    void markTried(ServerLoad load) {
        mTried.add(load.server().id());
        mFlow.forwarding().monitor().recordSent(mService, mFlow.nowNanos());
        mFlow.crashGuard().bodies().started(load, mBodyBytes);
    }

    /** Records that the attempt at a server has ended in any way. */
    void attemptEnded(ServerLoad load) {
        load.requestEnded();
        mFlow.forwarding().monitor().recordEnded(mService, mFlow.nowNanos());
        mFlow.crashGuard().bodies().ended(load, mBodyBytes);
    }

    /** Determines whether a server is cold. */
    boolean isCold(ServerLoad load, long now) {
        return mFlow.coldGate().isCold(load.server(), now);
    }

    private boolean isUsable(ServerLoad load, long now) {
        return recordExclusion(exclusion(load, now)) == null;
    }

    private Exclusion recordExclusion(Exclusion exclusion) {
        if (exclusion != null) {
            mFacts.excluded(exclusion);
        }
        return exclusion;
    }

    private Exclusion exclusion(ServerLoad load, long now) {
        if (mFlow.servers().isEvacuated(load.server().zone())) {
            return Exclusion.EVACUATED;
        }
        if (!isInHomeRegion(load)) {
            return Exclusion.NOT_HOME;
        }
        Exclusion stated = mFlow.statements().exclusion(load, now);
        if (stated != null) {
            return stated;
        }
        if (!mTried.isEmpty() && mTried.contains(load.server().id())) {
            return Exclusion.TRIED;
        }
        if (!mWithoutPermit.isEmpty() && mWithoutPermit.contains(load.server().id())) {
            return Exclusion.COLD;
        }
        if (!mFlow.crashGuard().bodies().accepts(load, mBodyBytes, now)) {
            return Exclusion.BODY_LIMIT;
        }
        return load.isAvoided(now) ? Exclusion.FAILING : null;
    }

    private boolean isInHomeRegion(ServerLoad load) {
        return mRoute.homeRegions().isEmpty()
                || mFlow.servers().region(load.server()).filter(mRoute::allows).isPresent();
    }

    /** Candidate servers of the request at one moment. */
    private final class UsableServers implements Candidates {

        private final long mNow;
        private final boolean mAppliesShare;
        private final ServerStatements mStatements = mFlow.statements();
        private final ServerLimitGate mLimits = mStatements.limits();
        private double mLimitedPerSecond;
        private boolean mHasLimited;
        private boolean mHasUnlimited;
        private boolean mSkippedReturning;
        private boolean mHasUnpaused;
        private long mShortestPauseNanos = Long.MAX_VALUE;

        UsableServers(long now, boolean appliesShare) {
            mNow = now;
            mAppliesShare = appliesShare;
        }

        @Override
        public boolean isUsable(ServerLoad load) {
            Exclusion exclusion = recordExclusion(exclusion(load, mNow));
            if (exclusion == Exclusion.PAUSED) {
                long left = mStatements.pausedForNanos(load, mNow);
                mShortestPauseNanos = Math.min(mShortestPauseNanos, left);
            }
            mHasUnpaused |= exclusion == null || exclusion.isTransient();
            if (exclusion != null) {
                return false;
            }
            if (mStatements.isEmpty()) {
                mHasUnlimited = true;
                return true;
            }
            boolean isUsable = mLimits.isLimited(load, mNow) ? hasPermit(load) : acceptsKey(load);
            if (!isUsable) {
                mFacts.excluded(Exclusion.LIMITED);
            }
            return isUsable;
        }

        /** Determines whether pauses alone keep the request from being sent. */
        boolean isEachPaused() {
            return !mHasUnpaused && mShortestPauseNanos != Long.MAX_VALUE;
        }

        private boolean hasPermit(ServerLoad load) {
            mHasLimited = true;
            mLimitedPerSecond += mLimits.ownPerSecond(load, mNow);
            return mLimits.hasPermit(load, mNow);
        }

        /**
         * Determines whether a server accepts the key. A server that returns accepts a growing
         * share of the keys.
         */
        private boolean acceptsKey(ServerLoad load) {
            mHasUnlimited = true;
            double share = mAppliesShare ? mStatements.share(load, mNow) : 1;
            boolean accepts = share >= 1 || HashMixer.fraction(mKeyHash, load.hash()) < share;
            mSkippedReturning |= !accepts;
            return accepts;
        }

        @Override
        public boolean isPaced(ServerLoad load) {
            return isCold(load) || mLimits.isLimited(load, mNow);
        }

        @Override
        public OptionalDouble limitedPerSecond() {
            return mHasLimited && !mHasUnlimited
                    ? OptionalDouble.of(mLimitedPerSecond)
                    : OptionalDouble.empty();
        }

        @Override
        public boolean isCold(ServerLoad load) {
            return ServerSearch.this.isCold(load, mNow);
        }

        @Override
        public boolean tryPermit(ServerLoad load) {
            Optional<ServiceRules> rules = mFlow.state().rules(mService);
            if (rules.isPresent()
                    && mFlow.coldGate().tryAcquire(load.server(), rules.get(), mNow)
                    && mLimits.tryPermit(load, mNow)) {
                return true;
            }
            mWithoutPermit.add(load.server().id());
            mFacts.excluded(Exclusion.COLD);
            return false;
        }
    }
}
