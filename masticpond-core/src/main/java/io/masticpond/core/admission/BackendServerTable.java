package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.request.RequestHead;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The backend servers of a shard, with those that are gone as long as they have work in flight. */
final class BackendServerTable {

    private final AdmissionSettings mSettings;
    private final ServerSelector mSelector;
    private final List<ServerCandidate> mCandidates = new ArrayList<>();
    private Map<BackendServerId, BackendServerState> mServers = new LinkedHashMap<>();
    private Map<BackendServerId, BackendServerState> mGone = new LinkedHashMap<>();

    /**
     * Starts without servers.
     *
     * @param settings the limits and paces
     * @param selector chooses among servers in use
     */
    BackendServerTable(AdmissionSettings settings, ServerSelector selector) {
        mSettings = settings;
        mSelector = selector;
    }

    /**
     * Takes the servers in place of those before. One that joins others is taken for cold.
     *
     * @param specifications what operators state
     * @param nanos the time now
     */
    void configure(List<BackendServerSpecification> specifications, long nanos) {
        Map<BackendServerId, BackendServerState> before = mServers;
        boolean joins = !before.isEmpty();
        mServers = new LinkedHashMap<>();
        for (BackendServerSpecification specification : specifications) {
            BackendServerState state = before.remove(specification.id());
            if (state == null) {
                state = add(specification, joins, nanos);
            }
            state.specify(specification, nanos);
            mServers.put(specification.id(), state);
        }
        mGone.putAll(before);
    }

    private BackendServerState add(
            BackendServerSpecification specification, boolean cold, long nanos) {
        BackendServerState state = mGone.remove(specification.id());
        if (state == null) {
            state = new BackendServerState(specification, mSettings, nanos);
        }
        if (cold) {
            state.cold(nanos);
        }
        return state;
    }

    /**
     * Lets time act on every server.
     *
     * @param nanos the time now
     */
    void advance(long nanos) {
        for (BackendServerState server : mServers.values()) {
            server.advance(nanos);
        }
        if (!mGone.isEmpty()) {
            mGone.values().forEach(server -> server.advance(nanos));
            mGone.values().removeIf(server -> server.heldSlots() == 0);
        }
    }

    /**
     * Chooses a server with a free slot for a request. A server in its trickle is tried first with
     * work that may be repeated, and last with work that may not.
     *
     * @param request the request
     * @param nanos the time now
     * @return the server, or empty if the request must wait
     */
    Optional<BackendServerState> select(RequestHead request, long nanos) {
        mCandidates.clear();
        BackendServerState trickle = null;
        boolean anyRegular = false;
        for (BackendServerState server : mServers.values()) {
            anyRegular |= server.regularSlots() > 0;
            if (!server.hasFreeSlot()) {
                continue;
            }
            if (server.ejectionState().isInUse()) {
                mCandidates.add(server);
            } else if (trickle == null || server.ejectionState().isTrialDue(nanos)) {
                trickle = server;
            }
        }
        boolean trickleIsDue = trickle != null && trickle.ejectionState().isTrialDue(nanos);
        if (trickle != null && (!anyRegular || (trickleIsDue && request.kind().isIdempotent()))) {
            return Optional.of(trickle);
        }
        if (mCandidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of((BackendServerState) mSelector.select(mCandidates));
    }

    /**
     * Counts the slots of the servers in use, or of those in a trickle if none is in use.
     *
     * @return the counts
     */
    SlotCounts counts() {
        SlotCounts regular = count(true);
        return regular.usable() > 0 ? regular : count(false);
    }

    private SlotCounts count(boolean regular) {
        int usable = 0;
        int free = 0;
        int busy = 0;
        int inFlight = 0;
        long nextRelease = Long.MAX_VALUE;
        for (BackendServerState server : mServers.values()) {
            int slots = regular ? server.regularSlots() : server.usableSlots();
            inFlight += server.heldSlots();
            usable += slots;
            free += Math.max(0, slots - server.heldSlots());
            busy += Math.min(slots, server.held().inFlight());
            if (slots > 0) {
                nextRelease = Math.min(nextRelease, server.held().nextReleaseNanos());
            }
        }
        for (BackendServerState server : mGone.values()) {
            inFlight += server.heldSlots();
        }
        return new SlotCounts(usable, free, busy, inFlight, nextRelease);
    }

    /**
     * Counts the slots that earlier admitters' work may hold.
     *
     * @return the slots over all servers
     */
    int withheld() {
        return mServers.values().stream().mapToInt(server -> server.withheld().count()).sum();
    }

    /**
     * Tells when the next ejection ends.
     *
     * @return nanoseconds of the monotonic clock, or {@link Long#MAX_VALUE} if nothing is ejected
     */
    long nextOpeningNanos() {
        return mServers.values().stream()
                .filter(server -> !server.isLeaving())
                .mapToLong(server -> server.ejectionState().untilNanos())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    Optional<BackendServerState> find(BackendServerId id) {
        return Optional.ofNullable(mServers.get(id));
    }

    Collection<BackendServerState> all() {
        return mServers.values();
    }
}
