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

/**
 * Backend servers of a shard, including removed servers as long as they have requests in flight.
 */
final class BackendServerTable {

    private final AdmissionSettings mSettings;
    private final ServerSelector mSelector;
    private final List<ServerCandidate> mCandidates = new ArrayList<>();
    private Map<BackendServerId, BackendServerState> mServers = new LinkedHashMap<>();
    private Map<BackendServerId, BackendServerState> mRemoved = new LinkedHashMap<>();

    /**
     * Creates a table without servers.
     *
     * @param settings the limits and rates
     * @param selector the strategy that chooses among servers in use
     */
    BackendServerTable(AdmissionSettings settings, ServerSelector selector) {
        mSettings = settings;
        mSelector = selector;
    }

    /**
     * Replaces the servers. A server that is added to existing ones is considered cold.
     *
     * @param specifications the specifications of the operators
     * @param nanos the current monotonic time, in nanoseconds
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
            state.applySpecification(specification, nanos);
            mServers.put(specification.id(), state);
        }
        mRemoved.putAll(before);
    }

    private BackendServerState add(
            BackendServerSpecification specification, boolean cold, long nanos) {
        BackendServerState state = mRemoved.remove(specification.id());
        if (state == null) {
            state = new BackendServerState(specification, mSettings, nanos);
        }
        if (cold) {
            state.startRampIn(nanos);
        }
        return state;
    }

    /**
     * Advances every server to the current time.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void advance(long nanos) {
        for (BackendServerState server : mServers.values()) {
            server.advance(nanos);
        }
        if (!mRemoved.isEmpty()) {
            mRemoved.values().forEach(server -> server.advance(nanos));
            mRemoved.values().removeIf(server -> server.heldSlots() == 0);
        }
    }

    /**
     * Selects a server with a free slot for a request. A server on trial is preferred for an
     * idempotent request while a trial request is due. Otherwise it is used only if no server in
     * use has usable slots.
     *
     * @param request the request
     * @param nanos the current monotonic time, in nanoseconds
     * @return the server, or empty if the request must wait
     */
    Optional<BackendServerState> select(RequestHead request, long nanos) {
        mCandidates.clear();
        BackendServerState onTrial = null;
        boolean anyRegular = false;
        for (BackendServerState server : mServers.values()) {
            anyRegular |= server.regularSlots() > 0;
            if (!server.hasFreeSlot()) {
                continue;
            }
            if (server.ejectionState().isInUse()) {
                mCandidates.add(server);
            } else if (onTrial == null || server.ejectionState().isTrialDue(nanos)) {
                onTrial = server;
            }
        }
        boolean isTrialDue = onTrial != null && onTrial.ejectionState().isTrialDue(nanos);
        if (onTrial != null && (!anyRegular || (isTrialDue && request.kind().isIdempotent()))) {
            return Optional.of(onTrial);
        }
        if (mCandidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of((BackendServerState) mSelector.select(mCandidates));
    }

    /**
     * Counts the slots of the servers in use, or of those on trial if none is in use.
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
        for (BackendServerState server : mRemoved.values()) {
            inFlight += server.heldSlots();
        }
        return new SlotCounts(usable, free, busy, inFlight, nextRelease);
    }

    /**
     * Returns the number of slots that requests of earlier admitters may hold.
     *
     * @return the slots over all servers
     */
    int withheld() {
        return mServers.values().stream().mapToInt(server -> server.withheld().count()).sum();
    }

    /**
     * Returns the time at which the next ejection ends.
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
