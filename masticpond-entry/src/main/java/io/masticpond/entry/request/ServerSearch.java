package io.masticpond.entry.request;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.Placement;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChoice;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.support.HashMixer;
import io.masticpond.entry.log.Exclusion;
import io.masticpond.entry.log.RequestRecord;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Finds the backend server for each attempt of one request. Traffic thread only. */
final class ServerSearch {

    private final RequestFlow mFlow;
    private final RequestRecord mFacts;
    private final Route mRoute;
    private final ServiceId mService;
    private final long mKeyHash;
    private final Set<BackendServerId> mTried = new HashSet<>();
    private final Set<BackendServerId> mWithoutPermit = new HashSet<>();

    ServerSearch(
            RequestFlow flow, RequestRecord facts, Route route, ServiceId service, String key) {
        mFlow = flow;
        mFacts = facts;
        mRoute = route;
        mService = service;
        mKeyHash = keyHash(key, route);
    }

    private static long keyHash(String key, Route route) {
        if (key == null || !route.affinity()) {
            return ThreadLocalRandom.current().nextLong();
        }
        return HashMixer.hash(key);
    }

    /** Places the request; one that has been sent before is past the gate. */
    Placement place(List<ServerLoad> servers, boolean sentBefore, long leftNanos, long now) {
        mWithoutPermit.clear();
        mFacts.beginSelection();
        Usable candidates = new Usable(now, true);
        Placement placement = place(servers, sentBefore, leftNanos, candidates);
        if (!(placement instanceof Placement.NoServer)) {
            return placement;
        }
        if (candidates.mSawReturning) {
            return place(servers, sentBefore, leftNanos, new Usable(now, false));
        }
        return candidates.isEachPaused()
                ? new Placement.Paused(candidates.mFirstPauseNanos)
                : placement;
    }

    private Placement place(
            List<ServerLoad> servers, boolean sentBefore, long leftNanos, Usable candidates) {
        PlacementRequest request = placed(leftNanos);
        RequestPlacer placer = mFlow.placer();
        return sentBefore
                ? placer.placeAgain(request, servers, candidates, candidates.mNow)
                : placer.place(request, servers, candidates, candidates.mNow);
    }

    private PlacementRequest placed(long leftNanos) {
        return new PlacementRequest(mRoute, mService, mKeyHash, leftNanos);
    }

    /**
     * Notes the servers of the last choice, the chosen one first, for a request that is refused.
     */
    void explain(List<ServerLoad> servers, long leftNanos, long now) {
        mFacts.beginSelection();
        List<ServerLoad> usable = servers.stream().filter(load -> isUsable(load, now)).toList();
        for (ServerChoice each : mFlow.placer().chooser().ranked(usable, placed(leftNanos), now)) {
            note(each, now);
        }
    }

    /** Notes a server that was weighed. */
    void note(ServerChoice choice, long now) {
        mFacts.candidate(
                choice.load().server().id(),
                (int) Math.round(choice.load().inFlight(now)),
                choice.load().server().slots(),
                choice.score());
    }

    /** Notes that a server was sent the request, so that it is not chosen again. */
    void tried(ServerLoad load) {
        mTried.add(load.server().id());
    }

    /** Tells whether a server is cold. */
    boolean isCold(ServerLoad load, long now) {
        return mFlow.coldGate().isCold(load.server(), now);
    }

    private boolean isUsable(ServerLoad load, long now) {
        return noted(exclusion(load, now)) == null;
    }

    private Exclusion noted(Exclusion exclusion) {
        if (exclusion != null) {
            mFacts.excluded(exclusion);
        }
        return exclusion;
    }

    private Exclusion exclusion(ServerLoad load, long now) {
        if (mFlow.servers().isEvacuated(load.server().zone())) {
            return Exclusion.EVACUATED;
        }
        if (!isHome(load)) {
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
        return load.isAvoided(now) ? Exclusion.FAILING : null;
    }

    private boolean isHome(ServerLoad load) {
        return mRoute.homeRegions().isEmpty()
                || mFlow.servers().region(load.server()).filter(mRoute::allows).isPresent();
    }

    /** The servers that the request may use at one moment. */
    private final class Usable implements Candidates {

        private final long mNow;
        private final boolean mHeedsReturn;
        private final ServerStatements mStatements = mFlow.statements();
        private final ServerLimitGate mLimits = mStatements.limits();
        private double mLimitedPerSecond;
        private boolean mSawLimited;
        private boolean mSawUnlimited;
        private boolean mSawReturning;
        private boolean mSawUnpaused;
        private long mFirstPauseNanos = Long.MAX_VALUE;

        Usable(long now, boolean heedsReturn) {
            mNow = now;
            mHeedsReturn = heedsReturn;
        }

        @Override
        public boolean isUsable(ServerLoad load) {
            Exclusion exclusion = noted(exclusion(load, mNow));
            if (exclusion == Exclusion.PAUSED) {
                long left = mStatements.pausedForNanos(load, mNow);
                mFirstPauseNanos = Math.min(mFirstPauseNanos, left);
            }
            mSawUnpaused |= exclusion == null || exclusion.isTransient();
            if (exclusion != null) {
                return false;
            }
            if (mStatements.isEmpty()) {
                mSawUnlimited = true;
                return true;
            }
            boolean isUsable = mLimits.isLimited(load, mNow) ? hasPermit(load) : takesKey(load);
            if (!isUsable) {
                mFacts.excluded(Exclusion.LIMITED);
            }
            return isUsable;
        }

        /** Tells whether the request could be sent if it were not for pauses. */
        boolean isEachPaused() {
            return !mSawUnpaused && mFirstPauseNanos != Long.MAX_VALUE;
        }

        private boolean hasPermit(ServerLoad load) {
            mSawLimited = true;
            mLimitedPerSecond += mLimits.ownPerSecond(load, mNow);
            return mLimits.hasPermit(load, mNow);
        }

        /** A server that returns takes more and more of the keys. */
        private boolean takesKey(ServerLoad load) {
            mSawUnlimited = true;
            double share = mHeedsReturn ? mStatements.share(load, mNow) : 1;
            boolean takes = share >= 1 || HashMixer.fraction(mKeyHash, load.hash()) < share;
            mSawReturning |= !takes;
            return takes;
        }

        @Override
        public boolean isPaced(ServerLoad load) {
            return isCold(load) || mLimits.isLimited(load, mNow);
        }

        @Override
        public OptionalDouble limitedPerSecond() {
            return mSawLimited && !mSawUnlimited
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
