package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Decides where a request goes, or that it is refused: the choice of a server, and the gate that
 * holds its expected wait against what the request may wait. Touched by one thread only.
 *
 * @since 0.2
 */
public final class RequestPlacer {

    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long MISDIRECTED_AVOID_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long UNREACHABLE_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final ServerChooser mChooser;
    private final LoadGate mGate;
    private final SharedLoads mShared = new SharedLoads();

    /**
     * Joins the two.
     *
     * @param chooser chooses among servers
     * @param gate refuses what would be late
     */
    public RequestPlacer(ServerChooser chooser, LoadGate gate) {
        mChooser = Assert.notNull(chooser, "A server chooser");
        mGate = Assert.notNull(gate, "A load gate");
    }

    /**
     * Gives what chooses among servers.
     *
     * @return the chooser
     */
    public ServerChooser chooser() {
        return mChooser;
    }

    /**
     * Gives what the instances around are told of loads, and tell.
     *
     * @return the loads to tell
     */
    public SharedLoads sharedLoads() {
        return mShared;
    }

    /**
     * Takes the load that a server told with an answer, after its request was counted as ended; one
     * of a run that is over is told to nobody, since others know the next run by the same id.
     *
     * @param load the server
     * @param told the load that it told
     * @param nowNanos the monotonic time
     */
    public void reported(ServerLoad load, ReportedLoad told, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        load.reported(told, nowNanos);
        mShared.answered(load, told);
    }

    /**
     * Counts a request, once, before it is placed.
     *
     * @param route its route
     * @param service the service picked
     * @param nowNanos the monotonic time
     */
    public void arrived(Route route, ServiceId service, long nowNanos) {
        mGate.arrived(route, service, nowNanos);
    }

    /**
     * Forgets what a configuration does not name any more.
     *
     * @param configuration the configuration in force
     */
    public void retain(RoutingConfiguration configuration) {
        mChooser.retain(configuration);
        mGate.retain(configuration);
    }

    /**
     * Places a request that no server has had yet.
     *
     * @param request what is known of it
     * @param servers the servers of its service
     * @param candidates what it may use of them
     * @param nowNanos the monotonic time
     * @return where it goes, or why not
     */
    public Placement place(
            PlacementRequest request,
            List<ServerLoad> servers,
            Candidates candidates,
            long nowNanos) {
        List<ServerLoad> usable = usable(servers, candidates);
        OptionalDouble limited = candidates.limitedPerSecond();
        if (limited.isPresent() && !mGate.admits(request, limited.getAsDouble(), nowNanos)) {
            return nowhere(request, candidates, nowNanos);
        }
        Placement placement = choose(request, usable, candidates, nowNanos);
        if (!(placement instanceof Placement.Placed placed)) {
            return placement;
        }
        Optional<AdmissionDecision> refusal =
                mGate.refuse(request, placed.choice().load(), nowNanos);
        if (refusal.isEmpty()) {
            return placed;
        }
        usable.removeIf(candidates::isPaced);
        Optional<ServerChoice> other =
                mChooser.otherHome(usable, request, placed.choice().load(), nowNanos);
        if (other.isPresent() && mGate.refuse(request, other.get().load(), nowNanos).isEmpty()) {
            return new Placement.Placed(other.get());
        }
        return new Placement.Refused(refusal.get());
    }

    /**
     * Places a request that a server did not answer; it is past the gate.
     *
     * @param request what is known of it
     * @param servers the servers of its service
     * @param candidates what it may still use of them
     * @param nowNanos the monotonic time
     * @return where it goes, or that there is nothing left
     */
    public Placement placeAgain(
            PlacementRequest request,
            List<ServerLoad> servers,
            Candidates candidates,
            long nowNanos) {
        return choose(request, usable(servers, candidates), candidates, nowNanos);
    }

    private static List<ServerLoad> usable(List<ServerLoad> servers, Candidates candidates) {
        List<ServerLoad> usable = new ArrayList<>(servers.size());
        for (ServerLoad server : servers) {
            if (candidates.isUsable(server)) {
                usable.add(server);
            }
        }
        return usable;
    }

    private Placement nowhere(PlacementRequest request, Candidates candidates, long nowNanos) {
        OptionalDouble limited = candidates.limitedPerSecond();
        return limited.isPresent()
                ? new Placement.Limited(
                        mGate.retryAfterNanos(request, limited.getAsDouble(), nowNanos))
                : new Placement.NoServer();
    }

    /** Chooses a server; a paced one needs a permit, and is left out if there is none. */
    private Placement choose(
            PlacementRequest request,
            List<ServerLoad> usable,
            Candidates candidates,
            long nowNanos) {
        while (true) {
            Optional<ServerChoice> choice = mChooser.choose(usable, request, nowNanos);
            if (choice.isEmpty()) {
                return nowhere(request, candidates, nowNanos);
            }
            ServerLoad load = choice.get().load();
            if (!candidates.isPaced(load) || candidates.tryPermit(load)) {
                return new Placement.Placed(choice.get());
            }
            usable.remove(load);
        }
    }

    /**
     * Counts a request that is being sent.
     *
     * @param load the server
     * @param nowNanos the monotonic time
     */
    public void sent(ServerLoad load, long nowNanos) {
        load.requestStarted();
        mChooser.outlierDetector().sent(load.server().service(), load.server().id(), nowNanos);
    }

    /**
     * Takes a good answer; one of a run that is over teaches nothing.
     *
     * @param load the server
     * @param nanos the time from the sending to the answer
     * @param waited whether requests waited for a slot there
     * @param nowNanos the monotonic time
     */
    public void succeeded(ServerLoad load, long nanos, boolean waited, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        load.answeredIn(nanos);
        RegisteredServer server = load.server();
        mChooser.outlierDetector().succeeded(server.service(), server.id(), nanos, nowNanos);
        if (!waited) {
            mChooser.answeredIn(server.service(), nanos);
        }
    }

    /**
     * Takes a failure that speaks against a server; one of a run that is over does not.
     *
     * @param load the server
     * @param nowNanos the monotonic time
     */
    public void failed(ServerLoad load, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        mChooser.outlierDetector().failed(load.server().service(), load.server().id(), nowNanos);
    }

    /**
     * Takes that a server is not the one that the registry names at its address.
     *
     * @param load the server
     * @param nowNanos the monotonic time
     */
    public void misdirected(ServerLoad load, long nowNanos) {
        load.avoidUntil(nowNanos + MISDIRECTED_AVOID_NANOS, AvoidReason.MISDIRECTED);
    }

    /**
     * Takes that no connection to a server could be opened.
     *
     * @param load the server
     * @param nowNanos the monotonic time
     */
    public void unreachable(ServerLoad load, long nowNanos) {
        load.avoidUntil(nowNanos + UNREACHABLE_AVOID_NANOS, AvoidReason.UNREACHABLE);
    }

    /**
     * Takes that a server turned a request away. One that is full is left alone for a moment. One
     * that had room is judged beside its peers: if it alone turns requests away it is avoided, but
     * if all do, leaving it alone would only send its keys to servers that do not know them, or to
     * another region, for the same answer.
     *
     * @param load the server
     * @param told the load that it told with that, or empty
     * @param nowNanos the monotonic time
     */
    public void rejectedByServer(ServerLoad load, Optional<ReportedLoad> told, long nowNanos) {
        if (told.filter(ReportedLoad::hasFreeSlot).isPresent()) {
            failed(load, nowNanos);
        } else {
            load.avoidUntil(nowNanos + FULL_AVOID_NANOS, AvoidReason.TURNED_AWAY);
        }
    }
}
