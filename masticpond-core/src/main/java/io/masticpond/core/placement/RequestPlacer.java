package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.AdmissionAnswer;
import io.masticpond.core.routing.Route;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Decides where a request goes, or that it is refused: the choice of a server, and the gate that
 * holds its expected wait against what the request may wait. Touched by one thread only.
 *
 * @since 0.2
 */
public final class RequestPlacer {

    private final ServerChooser mChooser;
    private final LoadGate mGate;

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
     * Places a request that no server has had yet.
     *
     * @param request what is known of it
     * @param servers the servers of its service
     * @param candidates what it may use of them
     * @param nowNanos the monotonic time
     * @return where it goes, or why not
     */
    public Placement place(
            PlacedRequest request, List<ServerLoad> servers, Candidates candidates, long nowNanos) {
        Placement placement = placeAgain(request, servers, candidates, nowNanos);
        if (!(placement instanceof Placement.Placed placed)) {
            return placement;
        }
        Optional<AdmissionAnswer> refusal = mGate.refuse(request, placed.choice().load(), nowNanos);
        if (refusal.isEmpty()) {
            return placed;
        }
        Optional<ServerChoice> other =
                mChooser.otherHome(
                        servers,
                        load -> candidates.isUsable(load) && !candidates.isCold(load),
                        request,
                        placed.choice().load(),
                        nowNanos);
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
            PlacedRequest request, List<ServerLoad> servers, Candidates candidates, long nowNanos) {
        while (true) {
            Optional<ServerChoice> choice =
                    mChooser.choose(servers, candidates::isUsable, request, nowNanos);
            if (choice.isEmpty()) {
                return new Placement.Nowhere();
            }
            ServerLoad load = choice.get().load();
            if (!candidates.isCold(load) || candidates.tryPermit(load)) {
                return new Placement.Placed(choice.get());
            }
        }
    }
}
