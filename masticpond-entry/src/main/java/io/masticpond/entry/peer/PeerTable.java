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

/** Table of what this instance knows of all others. Confined to the control thread. */
final class PeerTable {

    /**
     * Outside of a full mesh, this instance considers itself cut off if it receives the heartbeats
     * of fewer than one in this many of its neighbors.
     */
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

    /** Returns the records whose ids follow the given one, in order; all if it is null. */
    Collection<PeerRecord> after(InstanceId id) {
        return id == null ? records() : mRecords.tailMap(id, false).values();
    }

    /**
     * Determines whether an address belongs to an instance that started later, or to this instance.
     */
    boolean isTaken(PeerPlace place, long incarnation) {
        ServerAddress internal = place.internal();
        return internal.equals(mOwnAddress)
                || mRecords.values().stream()
                        .filter(other -> other.place().internal().equals(internal))
                        .anyMatch(other -> other.incarnation() > incarnation);
    }

    /** Adds an unknown instance, and removes any that had its address before. */
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

    /**
     * Determines whether all exchange heartbeats with each other, so that updates and claims about
     * others need not be forwarded.
     */
    boolean isFullMesh() {
        return mRecords.size() <= PeerNeighbors.FULL_MESH;
    }

    /** Returns the neighbors. */
    List<PeerRecord> watched(long now) {
        if (mStale) {
            pickNeighbors(now);
        }
        return mRecords.values().stream().filter(PeerRecord::isWatched).toList();
    }

    /**
     * Evaluates all instances, notifies the listener of changes, and removes those that have been
     * unresponsive for long.
     *
     * @return the instances that were alive and no longer are
     */
    List<PeerRecord> evaluate(long now) {
        mCutOff = isCutOff(now);
        List<PeerRecord> lost = new ArrayList<>();
        for (PeerRecord record : mRecords.values()) {
            if (evaluate(record, now)) {
                lost.add(record);
            }
        }
        long forgetAfter = mSettings.forgetAfter().toNanos();
        mStale |= mRecords.values().removeIf(record -> isForgotten(record, forgetAfter, now));
        return lost;
    }

    /** Evaluates one instance, and returns whether it was alive and no longer is. */
    boolean evaluate(PeerRecord record, long now) {
        Verdict before = record.verdict();
        Verdict verdict = mFailureDetector.evaluate(record, mCutOff, now);
        record.setVerdict(verdict);
        mChanged |= before != verdict;
        mStale |= (before == Verdict.GONE) != (verdict == Verdict.GONE);
        if (before == Verdict.GONE && verdict != Verdict.GONE) {
            mListener.onPeerReachable(record.instance());
        }
        boolean isLost = before != Verdict.GONE && verdict == Verdict.GONE;
        if (isLost) {
            mListener.onPeerUnreachable(record.id(), record.state() == PeerUpdate.State.LEAVING);
        }
        return isLost;
    }

    /** Returns whether a verdict changed since the last call, and resets that state. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /** Returns the time in nanoseconds until inactivity alone changes a verdict. */
    long untilNextVerdict(long now) {
        long next = Long.MAX_VALUE;
        for (PeerRecord record : mRecords.values()) {
            next = Math.min(next, mFailureDetector.untilNext(record, now));
        }
        return next;
    }

    /**
     * Compensates for a pause of this instance, during which it could not receive heartbeats:
     * instances that were alive have time for one more heartbeat.
     */
    void limitInactivity(long now) {
        long period = mSettings.period().toNanos();
        long maximum = mSettings.deadAfter().toNanos() - period - period / 2;
        for (PeerRecord record : mRecords.values()) {
            if (record.verdict() != Verdict.GONE) {
                record.limitInactivity(maximum, now);
            }
        }
    }

    /** Returns all other instances. */
    List<PeerMember> members(long now) {
        List<PeerMember> members = new ArrayList<>();
        for (PeerRecord record : mRecords.values()) {
            members.add(
                    new PeerMember(
                            record.instance(),
                            PeerMember.State.valueOf(record.verdict().name()),
                            record.state() == PeerUpdate.State.LEAVING,
                            TimeUnit.NANOSECONDS.toMillis(record.sinceLastSign(now))));
        }
        return members;
    }

    /** Creates the snapshot to be published. */
    PeerSnapshot snapshot(PeerInstance self, int unknownSeeds, long now) {
        List<PeerInstance> alive = new ArrayList<>();
        Set<InstanceId> suspects = new TreeSet<>();
        int shareholders = 1 + unknownSeeds;
        long cutOffFor = mSettings.cutOffFor().toNanos();
        alive.add(self);
        for (PeerRecord record : mRecords.values()) {
            boolean gone = record.verdict() == Verdict.GONE;
            boolean leaving = record.state() == PeerUpdate.State.LEAVING;
            if (!gone) {
                alive.add(record.instance());
            }
            if (record.verdict() == Verdict.SUSPECT) {
                suspects.add(record.id());
            }
            if (!gone || (!leaving && record.sinceLastSign(now) < cutOffFor)) {
                shareholders++;
            }
        }
        alive.sort((one, other) -> one.id().compareTo(other.id()));
        return new PeerSnapshot(List.copyOf(alive), Set.copyOf(suspects), shareholders);
    }

    /**
     * Determines whether the heartbeats of too few neighbors are received for reports about others
     * to be relied on.
     */
    private boolean isCutOff(long now) {
        if (isFullMesh()) {
            return false;
        }
        int watched = 0;
        int received = 0;
        for (PeerRecord record : mRecords.values()) {
            boolean leaving = record.state() == PeerUpdate.State.LEAVING;
            if (record.isWatched() && record.isReported() && !leaving) {
                watched++;
                boolean isActive = record.inactivity(now) < mSettings.deadAfter().toNanos();
                received += isActive || record.verdict() != Verdict.GONE ? 1 : 0;
            }
        }
        return received * RECEIVED_ONE_IN < watched;
    }

    private boolean isForgotten(PeerRecord record, long forgetAfter, long now) {
        return record.verdict() == Verdict.GONE && record.sinceLastSign(now) >= forgetAfter;
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
