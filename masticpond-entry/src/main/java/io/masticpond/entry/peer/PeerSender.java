package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Words the datagrams of this instance, and keeps the news that neighbors must hear soon. */
final class PeerSender {

    /** So many news of a list or of the spread fit into one datagram, however long the names. */
    static final int PAGE = 5;

    private static final int FAN_OUT = 4;

    private final OwnStatus mSelf;
    private final PeerOutput mOutput;
    private final Map<InstanceId, PeerUpdate> mSpread = new LinkedHashMap<>();
    private final Map<InstanceId, PeerUpdate> mUrgent = new LinkedHashMap<>();
    private int mTurn;

    PeerSender(OwnStatus self, PeerOutput output) {
        mSelf = self;
        mOutput = output;
    }

    void heartbeat(ServerAddress to, boolean withPlace, List<PeerUpdate> news) {
        send(PeerMessage.Kind.HEARTBEAT, to, withPlace, "", news);
    }

    void answer(ServerAddress to, boolean withPlace, List<PeerUpdate> news) {
        send(PeerMessage.Kind.ANSWER, to, withPlace, "", news);
    }

    void requestPlace(ServerAddress to) {
        send(PeerMessage.Kind.ASK, to, true, "", List.of());
    }

    void requestList(ServerAddress to, String after) {
        send(PeerMessage.Kind.LIST_ASK, to, true, after, List.of());
    }

    void page(ServerAddress to, List<PeerUpdate> news) {
        send(PeerMessage.Kind.LIST_PAGE, to, true, "", news);
    }

    /**
     * Keeps news for the neighbors; newer ones of the same instance replace older.
     *
     * @param news the news
     * @param isUrgent whether all neighbors must hear it, and not just enough of them for it to get
     *     round nearly everywhere
     */
    void disseminate(PeerUpdate news, boolean isUrgent) {
        mSpread.remove(news.id());
        mUrgent.remove(news.id());
        (isUrgent ? mUrgent : mSpread).put(news.id(), news);
    }

    boolean hasPendingUpdates() {
        return !mSpread.isEmpty() || !mUrgent.isEmpty();
    }

    /** Sends the kept news to the neighbors, in as few datagrams as they fit in. */
    void flush(List<PeerRecord> neighbors) {
        flush(mUrgent, neighbors);
        List<PeerRecord> some = new ArrayList<>();
        for (int i = 0; i < Math.min(FAN_OUT, neighbors.size()); i++) {
            some.add(neighbors.get(mTurn++ % neighbors.size()));
        }
        flush(mSpread, some);
    }

    private void flush(Map<InstanceId, PeerUpdate> from, List<PeerRecord> neighbors) {
        List<PeerUpdate> kept = new ArrayList<>(from.values());
        from.clear();
        for (int first = 0; first < kept.size(); first += PAGE) {
            List<PeerUpdate> part = kept.subList(first, Math.min(kept.size(), first + PAGE));
            neighbors.forEach(neighbor -> heartbeat(neighbor.place().internal(), false, part));
        }
    }

    private void send(
            PeerMessage.Kind kind,
            ServerAddress to,
            boolean withPlace,
            String listAfter,
            List<PeerUpdate> news) {
        mOutput.send(to, new PeerMessage(kind, mSelf.update(withPlace), listAfter, news));
    }
}
