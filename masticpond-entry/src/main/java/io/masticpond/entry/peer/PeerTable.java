package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.entry.peer.PeerRecord.Verdict;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** What this instance knows of all others; used by the control thread alone. */
final class PeerTable {

    /** Of so many neighbors, one at least must be heard, or this instance is cut off itself. */
    private static final int RECEIVED_ONE_IN = 3;

    private final InstanceId mSelf;
    private final ServerAddress mOwnAddress;
    private final HeartbeatSettings mSettings;
    private final PeerFailureDetector mFailureDetector;
    private final PeerListener mListener;
    private final TreeMap<InstanceId, PeerRecord> mRecords = new TreeMap<>();
    private boolean mStale = true;
    private boolean mChanged;
    private boolean mCutOff;

    PeerTable(OwnStatus self, HeartbeatSettings settings, PeerListener listener) {
        mSelf = self.id();
        mOwnAddress = self.place().internal();
        mSettings = settings;
        mFailureDetector = new PeerFailureDetector(settings);
        mListener = listener;
    }

    PeerRecord get(InstanceId id) {
        return mRecords.get(id);
    }

    Collection<PeerRecord> records() {
        return mRecords.values();
    }

    /** Gives those whose ids come after one, in order. */
    Collection<PeerRecord> after(InstanceId id) {
        return id == null ? records() : mRecords.tailMap(id, false).values();
    }

    /** Tells whether an address belongs to one that started later, or to this instance. */
    boolean isTaken(PeerPlace place, long incarnation) {
        ServerAddress internal = place.internal();
        return internal.equals(mOwnAddress)
                || mRecords.values().stream()
                        .filter(other -> other.place().internal().equals(internal))
                        .anyMatch(other -> other.incarnation() > incarnation);
    }

    /** Adds an instance that is not known, in place of any that had its address before. */
    PeerRecord add(InstanceId id, PeerPlace place, long incarnation, long now) {
        List<PeerRecord> replaced =
                mRecords.values().stream()
                        .filter(other -> other.place().internal().equals(place.internal()))
                        .toList();
        for (PeerRecord other : replaced) {
            mRecords.remove(other.id());
            if (other.verdict() != Verdict.GONE) {
                mListener.onPeerUnreachable(other.id(), other.state() == PeerUpdate.State.LEAVING);
            }
        }
        PeerRecord record = new PeerRecord(id, place, incarnation, now);
        mRecords.put(id, record);
        mStale = true;
        return record;
    }

    boolean knowsAddress(ServerAddress internal) {
        return mRecords.values().stream().anyMatch(r -> r.place().internal().equals(internal));
    }

    /** Tells whether all exchange heartbeats with each other, so that nobody tells for others. */
    boolean isFullMesh() {
        return mRecords.size() <= PeerNeighbors.FULL_MESH;
    }

    /** Gives the neighbors. */
    List<PeerRecord> watched(long now) {
        if (mStale) {
            pickNeighbors(now);
        }
        return mRecords.values().stream().filter(PeerRecord::isWatched).toList();
    }

    /**
     * Judges all, tells the listener what changed, and forgets the long silent.
     *
     * @return those that were alive and are not any more
     */
    List<PeerRecord> evaluate(long now) {
        mCutOff = isCutOff(now);
        List<PeerRecord> lost = new ArrayList<>();
        for (PeerRecord record : mRecords.values()) {
            if (evaluate(record, now)) {
                lost.add(record);
            }
        }
        long forget = mSettings.forgetAfter().toNanos();
        mStale |= mRecords.values().removeIf(record -> isForgotten(record, forget, now));
        return lost;
    }

    /** Judges one, and tells whether it was alive and is not any more. */
    boolean evaluate(PeerRecord record, long now) {
        Verdict before = record.verdict();
        Verdict verdict = mFailureDetector.evaluate(record, mCutOff, now);
        record.setVerdict(verdict);
        mChanged |= before != verdict;
        mStale |= (before == Verdict.GONE) != (verdict == Verdict.GONE);
        if (before == Verdict.GONE && verdict != Verdict.GONE) {
            mListener.onPeerReachable(record.instance());
        }
        boolean lost = before != Verdict.GONE && verdict == Verdict.GONE;
        if (lost) {
            mListener.onPeerUnreachable(record.id(), record.state() == PeerUpdate.State.LEAVING);
        }
        return lost;
    }

    /** Tells, once, whether a verdict changed since this was asked last. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /** Gives the time until silence alone changes something. */
    long untilNextVerdict(long now) {
        long next = Long.MAX_VALUE;
        for (PeerRecord record : mRecords.values()) {
            next = Math.min(next, mFailureDetector.untilNext(record, now));
        }
        return next;
    }

    /**
     * Makes good for a pause of this instance, in which it could hear nobody: those who were alive
     * have time for one more heartbeat.
     */
    void limitInactivity(long now) {
        long period = mSettings.period().toNanos();
        long most = mSettings.deadAfter().toNanos() - period - period / 2;
        for (PeerRecord record : mRecords.values()) {
            if (record.verdict() != Verdict.GONE) {
                record.limitInactivity(most, now);
            }
        }
    }

    /** Tells of all others. */
    List<PeerMember> members(long now) {
        List<PeerMember> members = new ArrayList<>();
        for (PeerRecord record : mRecords.values()) {
            members.add(
                    new PeerMember(
                            record.instance(),
                            PeerMember.State.valueOf(record.verdict().name()),
                            record.state() == PeerUpdate.State.LEAVING,
                            TimeUnit.NANOSECONDS.toMillis(record.sinceSign(now))));
        }
        return members;
    }

    /** Gives the snapshot for others. */
    PeerSnapshot snapshot(PeerInstance self, int unknownSeeds, long now) {
        List<PeerInstance> alive = new ArrayList<>();
        Set<InstanceId> suspects = new TreeSet<>();
        int shareholders = 1 + unknownSeeds;
        long cutOffFor = mSettings.cutOffFor().toNanos();
        alive.add(self);
        for (PeerRecord record : mRecords.values()) {
            boolean gone = record.verdict() == Verdict.GONE;
            boolean left = record.state() == PeerUpdate.State.LEAVING;
            if (!gone) {
                alive.add(record.instance());
            }
            if (record.verdict() == Verdict.SUSPECT) {
                suspects.add(record.id());
            }
            if (!gone || (!left && record.sinceSign(now) < cutOffFor)) {
                shareholders++;
            }
        }
        alive.sort((one, other) -> one.id().compareTo(other.id()));
        return new PeerSnapshot(List.copyOf(alive), Set.copyOf(suspects), shareholders);
    }

    /** Tells whether too few neighbors are heard to believe what is told of others. */
    private boolean isCutOff(long now) {
        if (isFullMesh()) {
            return false;
        }
        int watched = 0;
        int heard = 0;
        for (PeerRecord record : mRecords.values()) {
            boolean left = record.state() == PeerUpdate.State.LEAVING;
            if (record.isWatched() && record.isReported() && !left) {
                watched++;
                boolean isNear = record.inactivity(now) < mSettings.deadAfter().toNanos();
                heard += isNear || record.verdict() != Verdict.GONE ? 1 : 0;
            }
        }
        return heard * RECEIVED_ONE_IN < watched;
    }

    private boolean isForgotten(PeerRecord record, long forget, long now) {
        return record.verdict() == Verdict.GONE && record.sinceSign(now) >= forget;
    }

    private void pickNeighbors(long now) {
        mStale = false;
        Set<InstanceId> present = new HashSet<>();
        for (PeerRecord record : mRecords.values()) {
            if (record.verdict() != Verdict.GONE) {
                present.add(record.id());
            }
        }
        Set<InstanceId> neighbors = new HashSet<>(PeerNeighbors.of(mSelf, mRecords.keySet()));
        if (!isFullMesh()) {
            neighbors.addAll(PeerNeighbors.of(mSelf, present));
        }
        mRecords.values().forEach(r -> r.watch(neighbors.contains(r.id()), now));
    }
}
