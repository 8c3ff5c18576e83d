package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;

/**
 * Placer that decides to which server a request is sent or whether it is refused, by the choice of
 * a server and a gate that compares the server's expected wait with the wait that the request
 * allows.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class RequestPlacer {

    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long MISDIRECTED_AVOID_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long UNREACHABLE_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final ServerChooser mChooser;
    private final LoadGate mGate;
    private final SharedLoads mSharedLoads;
    private TransferListener mTransferListener = TransferListener.NONE;
    private ObjLongConsumer<PlacementRequest> mPlacementListener = (request, nowNanos) -> {};

    /**
     * Creates a placer.
     *
     * @param chooser the chooser of servers
     * @param gate the gate that refuses requests which would be answered too late
     */
    public RequestPlacer(ServerChooser chooser, LoadGate gate) {
        mChooser = Assert.notNull(chooser, "A server chooser");
        mGate = Assert.notNull(gate, "A load gate");
        mSharedLoads = new SharedLoads(chooser.speeds());
    }

    /**
     * Returns the chooser of servers.
     *
     * @return the chooser
     */
    public ServerChooser chooser() {
        return mChooser;
    }

    /**
     * Returns the loads that this instance exchanges with its neighbors.
     *
     * @return the shared loads
     */
    public SharedLoads sharedLoads() {
        return mSharedLoads;
    }

    /**
     * Sets the listener for requests that are placed for their first attempt.
     *
     * @param listener the listener, which receives the request and the monotonic time
     */
    public void setPlacementListener(ObjLongConsumer<PlacementRequest> listener) {
        mPlacementListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Records the load that a server reported with an answer, after its request was counted as
     * ended. The load of a terminated run is ignored and not shared, since other instances know the
     * next run by the same id.
     *
     * @param load the server
     * @param reported the reported load
     * @param nowNanos the current monotonic time
     */
    public void reported(ServerLoad load, ReportedLoad reported, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        load.recordReport(reported, nowNanos);
        load.recordAnswered(nowNanos);
        mChooser.speeds().recordAnswer(load, reported, nowNanos);
        mGate.reported(load, reported, nowNanos);
        mSharedLoads.recordLoad(load, reported, nowNanos);
    }

    /**
     * Records a request before it is placed; called once for each request.
     *
     * @param route its route
     * @param service the chosen service
     * @param nowNanos the current monotonic time
     */
    public void arrived(Route route, ServiceId service, long nowNanos) {
        arrived(route, service, Optional.empty(), nowNanos);
    }

    /**
     * Records a request before it is placed; called once for each request.
     *
     * @param route its route
     * @param service the chosen service
     * @param workspace the workspace of its caller, or empty if the route requires none
     * @param nowNanos the current monotonic time
     */
    public void arrived(
            Route route, ServiceId service, Optional<WorkspaceId> workspace, long nowNanos) {
        mGate.arrived(route, service, workspace, nowNanos);
    }

    /**
     * Removes the state of routes and services that are no longer configured.
     *
     * @param configuration the configuration in force
     */
    public void retain(RoutingConfiguration configuration) {
        mChooser.retain(configuration);
        mGate.retain(configuration);
    }

    /**
     * Places a request for its first attempt.
     *
     * @param request the request
     * @param servers the servers of its service
     * @param candidates determines which of the servers it may use
     * @param nowNanos the current monotonic time
     * @return the chosen server, or the reason why there is none
     */
    public Placement place(
            PlacementRequest request,
            List<ServerLoad> servers,
            Candidates candidates,
            long nowNanos) {
        mPlacementListener.accept(request, nowNanos);
        List<ServerLoad> usable = usable(servers, candidates);
        mGate.observeServers(request, servers, usable, candidates, nowNanos);
        OptionalDouble limited = candidates.limitedPerSecond();
        if (limited.isPresent() && !mGate.admits(request, limited.getAsDouble(), nowNanos)) {
            return noPlacement(request, candidates, nowNanos);
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
     * Places a request again that a server did not answer; the gate has already admitted it.
     *
     * @param request the request
     * @param servers the servers of its service
     * @param candidates determines which of the servers it may still use
     * @param nowNanos the current monotonic time
     * @return the chosen server, or the reason why there is none
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

    private Placement noPlacement(PlacementRequest request, Candidates candidates, long nowNanos) {
        OptionalDouble limited = candidates.limitedPerSecond();
        return limited.isPresent()
                ? new Placement.Limited(
                        mGate.retryAfterNanos(request, limited.getAsDouble(), nowNanos))
                : new Placement.NoServer();
    }

    /** Chooses a server; a paced server requires a permit and is excluded if there is none. */
    private Placement choose(
            PlacementRequest request,
            List<ServerLoad> usable,
            Candidates candidates,
            long nowNanos) {
        while (true) {
            Optional<ServerChoice> choice = mChooser.choose(usable, request, nowNanos);
            if (choice.isEmpty()) {
                return noPlacement(request, candidates, nowNanos);
            }
            ServerLoad load = choice.get().load();
            if (!candidates.isPaced(load) || candidates.tryPermit(load)) {
                return new Placement.Placed(choice.get());
            }
            usable.remove(load);
        }
    }

    /**
     * Sets the listener to the bytes exchanged with servers of other regions.
     *
     * @param listener the listener
     */
    public void setTransferListener(TransferListener listener) {
        mTransferListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Records the sizes of a request and its answer.
     *
     * @param load the server
     * @param route the route of the request
     * @param requestBytes the size of the body of the request
     * @param answerBytes the size of the body of the answer
     */
    public void transferred(ServerLoad load, RouteId route, long requestBytes, long answerBytes) {
        mChooser.recordAnswerSize(route, answerBytes);
        if (load.distance() == Distance.OTHER_REGION) {
            mTransferListener.onTransfer(load.server(), requestBytes, answerBytes);
        }
    }

    /**
     * Records that a request is being sent.
     *
     * @param load the server
     * @param nowNanos the current monotonic time
     */
    public void sent(ServerLoad load, long nowNanos) {
        load.requestStarted();
        mChooser.outlierDetector().sent(load.server().service(), load.server().id(), nowNanos);
    }

    /**
     * Records a successful answer; an answer of a terminated run is ignored.
     *
     * @param load the server
     * @param nanos the time in nanoseconds from the sending to the answer
     * @param hasWaited whether requests waited for a slot there
     * @param nowNanos the current monotonic time
     */
    public void succeeded(ServerLoad load, long nanos, boolean hasWaited, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        load.recordServiceTime(nanos);
        RegisteredServer server = load.server();
        mChooser.outlierDetector().succeeded(server.service(), server.id(), nanos, nowNanos);
        if (!hasWaited) {
            mChooser.recordAnswerTime(server.service(), nanos);
        }
    }

    /**
     * Records a successful answer to a request of a route; an answer of a terminated run is
     * ignored.
     *
     * @param route the route of the request
     * @param load the server
     * @param nanos the time in nanoseconds from the sending to the answer
     * @param hasWaited whether requests waited for a slot there
     * @param nowNanos the current monotonic time
     */
    public void succeeded(
            Route route, ServerLoad load, long nanos, boolean hasWaited, long nowNanos) {
        succeeded(load, nanos, hasWaited, nowNanos);
        if (!load.isTerminated()) {
            mGate.answered(route, load.server().service(), nanos, hasWaited, nowNanos);
        }
    }

    /**
     * Records a failure that is attributed to a server; a failure of a terminated run is ignored.
     *
     * @param load the server
     * @param nowNanos the current monotonic time
     */
    public void failed(ServerLoad load, long nowNanos) {
        if (load.isTerminated()) {
            return;
        }
        mChooser.outlierDetector().failed(load.server().service(), load.server().id(), nowNanos);
    }

    /**
     * Records that a server is not the one that is registered with its address.
     *
     * @param load the server
     * @param nowNanos the current monotonic time
     */
    public void misdirected(ServerLoad load, long nowNanos) {
        load.avoidUntil(nowNanos + MISDIRECTED_AVOID_NANOS, AvoidReason.MISDIRECTED);
    }

    /**
     * Records that no connection to a server could be opened.
     *
     * @param load the server
     * @param nowNanos the current monotonic time
     */
    public void unreachable(ServerLoad load, long nowNanos) {
        load.avoidUntil(nowNanos + UNREACHABLE_AVOID_NANOS, AvoidReason.UNREACHABLE);
    }

    /**
     * Discards the failures of servers that were those of this instance's own connection.
     *
     * @param loads the servers
     */
    public void discardFailures(List<ServerLoad> loads) {
        for (ServerLoad load : loads) {
            load.endAvoidance(AvoidReason.UNREACHABLE);
            mChooser.outlierDetector().remove(load.server().service(), load.server().id());
        }
    }

    /**
     * Records that a server rejected a request. A full server is avoided for a moment. A server
     * with a free slot is evaluated in comparison with its peers: it is avoided if it alone rejects
     * requests; if all do, avoiding it would only send its keys to servers that do not cache them,
     * or to another region, with the same result.
     *
     * @param load the server
     * @param reported the load that it reported with the rejection, or empty
     * @param nowNanos the current monotonic time
     */
    public void rejectedByServer(ServerLoad load, Optional<ReportedLoad> reported, long nowNanos) {
        if (reported.filter(ReportedLoad::hasFreeSlot).isPresent()) {
            failed(load, nowNanos);
        } else {
            load.avoidUntil(nowNanos + FULL_AVOID_NANOS, AvoidReason.TURNED_AWAY);
        }
    }
}
