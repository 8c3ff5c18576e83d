package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Sender of the datagrams of this instance, which also holds the updates that are pending for the
 * neighbors.
 */
final class PeerSender {

    /**
     * Maximum number of updates of a list or of the dissemination in one datagram, chosen to fit
     * with names of any length.
     */
    static final int PAGE = 5;

    private static final int FAN_OUT = 4;

    private final OwnStatus mSelf;
    private final PeerOutput mOutput;
    private final Map<InstanceId, PeerUpdate> mRegular = new LinkedHashMap<>();
    private final Map<InstanceId, PeerUpdate> mUrgent = new LinkedHashMap<>();
    private int mTurn;

    PeerSender(OwnStatus self, PeerOutput output) {
        mSelf = self;
        mOutput = output;
    }

    void heartbeat(ServerAddress to, boolean withPlace, List<PeerUpdate> updates) {
        send(PeerMessage.Kind.HEARTBEAT, to, withPlace, "", updates);
    }

    void answer(ServerAddress to, boolean withPlace, List<PeerUpdate> updates) {
        send(PeerMessage.Kind.ANSWER, to, withPlace, "", updates);
    }

    void requestPlace(ServerAddress to) {
        send(PeerMessage.Kind.ASK, to, true, "", List.of());
    }

    void requestList(ServerAddress to, String after) {
        send(PeerMessage.Kind.LIST_ASK, to, true, after, List.of());
    }

    void page(ServerAddress to, List<PeerUpdate> updates) {
        send(PeerMessage.Kind.LIST_PAGE, to, true, "", updates);
    }

    /**
     * Holds an update for the neighbors; it replaces an older one of the same instance.
     *
     * @param update the update
     * @param isUrgent whether all neighbors must receive it, and not only enough of them for it to
     *     reach nearly all instances
     */
    void disseminate(PeerUpdate update, boolean isUrgent) {
        mRegular.remove(update.id());
        mUrgent.remove(update.id());
        (isUrgent ? mUrgent : mRegular).put(update.id(), update);
    }

    boolean hasPendingUpdates() {
        return !mRegular.isEmpty() || !mUrgent.isEmpty();
    }

    /** Sends the pending updates to the neighbors, in as few datagrams as they fit into. */
    void flush(List<PeerRecord> neighbors) {
        flush(mUrgent, neighbors);
        List<PeerRecord> some = new ArrayList<>();
        for (int i = 0; i < Math.min(FAN_OUT, neighbors.size()); i++) {
            some.add(neighbors.get(mTurn++ % neighbors.size()));
        }
        flush(mRegular, some);
    }

    private void flush(Map<InstanceId, PeerUpdate> from, List<PeerRecord> neighbors) {
        List<PeerUpdate> pending = new ArrayList<>(from.values());
        from.clear();
        for (int first = 0; first < pending.size(); first += PAGE) {
            List<PeerUpdate> part = pending.subList(first, Math.min(pending.size(), first + PAGE));
            neighbors.forEach(neighbor -> heartbeat(neighbor.place().internal(), false, part));
        }
    }

    private void send(
            PeerMessage.Kind kind,
            ServerAddress to,
            boolean withPlace,
            String listAfter,
            List<PeerUpdate> updates) {
        mOutput.send(to, new PeerMessage(kind, mSelf.update(withPlace), listAfter, updates));
    }
}
