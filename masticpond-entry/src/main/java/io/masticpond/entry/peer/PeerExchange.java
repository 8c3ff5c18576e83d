package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.entry.peer.PeerRecord.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Exchange of heartbeats and updates with other instances, without any knowledge of sockets and
 * timers. Confined to the control thread.
 *
 * <p>Up to {@link PeerNeighbors#FULL_MESH} other instances form a full mesh: all exchange
 * heartbeats with each other, and each evaluates the others only by the heartbeats that it receives
 * itself. In a larger fleet each instance exchanges heartbeats with a few neighbors and forwards
 * updates at once: that an instance is new, restarted, ready, leaving, or unresponsive to one of
 * its neighbors. An instance that knows of a later state answers with it. In addition each instance
 * reports a few members to one neighbor per period, in turn, which repairs what was lost in
 * transit; in a full mesh it reports one member every {@link #MESH_REPORT_TICKS} periods.
 */
final class PeerExchange {

    private static final int MESH_REPORT_TICKS = 5;
    private static final int MAXIMUM_REPORTED_IN_TURN = 3;

    /** Periods since the start in which this instance requests the list of members again. */
    private static final Set<Long> LIST_TICKS = Set.of(2L, 5L, 12L);

    private final OwnStatus mSelf;
    private final HeartbeatSettings mSettings;
    private List<ServerAddress> mSeeds;
    private final PeerTable mTable;
    private final PeerSender mSender;
    private final long mStart;
    private long mTicks;
    private long mLastTick;
    private InstanceId mTurn;
    private boolean mChanged = true;

    PeerExchange(
            OwnStatus self,
            HeartbeatSettings settings,
            List<ServerAddress> seeds,
            PeerOutput output,
            PeerListener listener,
            long now) {
        mSelf = self;
        mSettings = settings;
        setSeeds(seeds);
        mTable = new PeerTable(self, settings, listener);
        mSender = new PeerSender(self, output);
        mStart = now;
        mLastTick = now;
    }

    /** Returns this instance and all others that are known. */
    List<PeerMember> members(long now) {
        List<PeerMember> members = new ArrayList<>(mTable.members(now));
        members.add(new PeerMember(mSelf.instance(), PeerMember.State.SELF, mSelf.isLeaving(), 0));
        members.sort((one, other) -> one.instance().id().compareTo(other.instance().id()));
        return members;
    }

    /** Replaces the seeds. */
    void setSeeds(List<ServerAddress> seeds) {
        ServerAddress own = mSelf.place().internal();
        mSeeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
    }

    /**
     * Adds instances that are listed elsewhere; they count as alive once a heartbeat of them is
     * received here or reported by another instance.
     */
    void addKnown(List<PeerInstance> instances, long now) {
        mChanged = true;
        for (PeerInstance instance : instances) {
            PeerPlace place = PeerPlace.of(instance);
            if (instance.id().equals(mSelf.id())) {
                mSelf.raiseIncarnationAbove(instance.incarnation());
            } else if (mTable.get(instance.id()) == null
                    && !mTable.isTaken(place, instance.incarnation())) {
                mTable.add(instance.id(), place, instance.incarnation(), now);
            }
        }
        for (PeerRecord record : mTable.watched(now)) {
            if (!record.hasReceived()) {
                sendTo(record, now);
            }
        }
    }

    /** Performs the work of one heartbeat period. */
    void tick(long now) {
        if (now - mLastTick > 2 * mSettings.period().toNanos()) {
            mTable.limitInactivity(now);
        }
        mLastTick = now;
        mTicks++;
        mChanged = true;
        mSelf.advanceSequence();
        evaluate(now);
        contactSeeds(now);
        for (PeerRecord record : mTable.watched(now)) {
            sendTo(record, now);
        }
        answerOthers(now);
        reportInTurn(now);
    }

    /**
     * Evaluates all instances, and disseminates a claim about each neighbor that became
     * unresponsive.
     */
    void evaluate(long now) {
        for (PeerRecord lost : mTable.evaluate(now)) {
            if (!mTable.isFullMesh() && lost.isWatched() && !lost.isClaimed()) {
                mSender.disseminate(lost.claimUpdate(), true);
            }
        }
    }

    long untilNextVerdict(long now) {
        return mTable.untilNextVerdict(now);
    }

    /** Announces a change of this instance to all its neighbors at once. */
    void announce(long now) {
        mSelf.advanceSequence();
        mChanged = true;
        boolean mesh = mTable.isFullMesh();
        mTable.watched(now).forEach(r -> mSender.heartbeat(r.place().internal(), !mesh, List.of()));
    }

    /** Determines whether this instance exchanges heartbeats with another as its neighbor. */
    boolean isWatching(InstanceId id) {
        PeerRecord record = mTable.get(id);
        return record != null && record.isWatched();
    }

    boolean hasPendingUpdates() {
        return mSender.hasPendingUpdates();
    }

    /** Sends the pending updates to the neighbors. */
    void flush(long now) {
        mSender.flush(
                mTable.watched(now).stream().filter(r -> r.verdict() != Verdict.GONE).toList());
    }

    /** Returns whether the snapshot changed since the last call, and resets that state. */
    boolean takeChanged() {
        boolean changed = mChanged || mTable.takeChanged();
        mChanged = false;
        return changed;
    }

    PeerSnapshot snapshot(long now) {
        boolean recentlyStarted = now - mStart < mSettings.cutOffFor().toNanos();
        long unknown =
                recentlyStarted ? mSeeds.stream().filter(s -> !mTable.knowsAddress(s)).count() : 0;
        return mTable.snapshot(mSelf.instance(), (int) unknown, now);
    }

    /** Handles a received datagram. */
    void receive(PeerMessage message, ServerAddress from, long now) {
        PeerUpdate sender = message.sender();
        if (sender.id().equals(mSelf.id())) {
            receiveAboutSelf(sender, now);
            return;
        }
        if (!receiveSender(sender, from, now)) {
            return;
        }
        for (PeerUpdate update : message.updates()) {
            if (!claimsAddressOf(mTable.get(sender.id()), update)) {
                receiveUpdate(update, from, now);
            }
        }
        switch (message.kind()) {
            case HEARTBEAT -> mTable.get(sender.id()).recordPicked(now);
            case ANSWER -> {}
            case ASK -> mSender.answer(from, true, List.of());
            case LIST_ASK -> mSender.page(from, list(message.listAfter()));
            case LIST_PAGE -> requestNextPage(message, from);
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    /**
     * Determines whether an update gives the address of the sender of its datagram to another
     * instance, which would remove the record of the sender.
     */
    private static boolean claimsAddressOf(PeerRecord sender, PeerUpdate update) {
        return !update.id().equals(sender.id())
                && update.place()
                        .filter(place -> place.internal().equals(sender.place().internal()))
                        .isPresent();
    }

    private boolean receiveSender(PeerUpdate update, ServerAddress from, long now) {
        PeerRecord record = mTable.get(update.id());
        if (record == null && update.place().isEmpty()) {
            mSender.requestPlace(from);
            return false;
        }
        if (record == null) {
            record = mTable.add(update.id(), update.place().get(), update.incarnation(), now);
        }
        if (update.incarnation() < record.incarnation()) {
            mSender.answer(from, true, List.of(record.update(false)));
            return false;
        }
        boolean wasClaimed = record.isClaimed();
        boolean changed = record.applyUpdate(update, now);
        record.recordReceived(update, now);
        mTable.evaluate(record, now);
        mChanged |= changed;
        if (changed || wasClaimed) {
            disseminate(record, wasClaimed);
        }
        return true;
    }

    private void receiveAboutSelf(PeerUpdate update, long now) {
        if (mSelf.supersede(update)) {
            announce(now);
            if (!mTable.isFullMesh()) {
                mSender.disseminate(mSelf.update(true), true);
            }
        }
    }

    private void receiveUpdate(PeerUpdate update, ServerAddress from, long now) {
        if (update.id().equals(mSelf.id())) {
            receiveAboutSelf(update, now);
            return;
        }
        PeerRecord record = mTable.get(update.id());
        if (record == null) {
            receiveAboutUnknown(update, now);
        } else if (update.state() == PeerUpdate.State.SILENT) {
            receiveClaim(record, update, from, now);
        } else if (record.isClaimed()
                && !update.isLaterThan(record.incarnation(), record.lastSequence())) {
            mSender.answer(from, false, List.of(record.claimUpdate()));
        } else if (update.isLaterThan(record.incarnation(), record.lastSequence())) {
            boolean wasClaimed = record.isClaimed();
            if (record.applyUpdate(update, now)) {
                mTable.evaluate(record, now);
                mChanged = true;
                disseminate(record, wasClaimed);
            }
        }
    }

    private void receiveAboutUnknown(PeerUpdate update, long now) {
        boolean unknown = update.place().isEmpty() || update.state() == PeerUpdate.State.SILENT;
        if (unknown || mTable.isTaken(update.place().get(), update.incarnation())) {
            return;
        }
        PeerRecord record =
                mTable.add(update.id(), update.place().get(), update.incarnation(), now);
        record.applyUpdate(update, now);
        mTable.evaluate(record, now);
        mChanged = true;
        if (mTable.isFullMesh()) {
            sendTo(record, now);
        }
        disseminate(record, false);
    }

    /** Disseminates the update of an instance, unless all receive it from the instance itself. */
    private void disseminate(PeerRecord record, boolean wasClaimed) {
        if (!mTable.isFullMesh()) {
            boolean leaves = record.state() == PeerUpdate.State.LEAVING;
            mSender.disseminate(record.update(true), wasClaimed || leaves);
        }
    }

    private void receiveClaim(PeerRecord record, PeerUpdate claim, ServerAddress from, long now) {
        if (record.supersedes(claim)) {
            mSender.answer(from, false, List.of(record.update(true)));
        } else if (!mTable.isFullMesh() && record.recordClaim(now)) {
            mTable.evaluate(record, now);
            mChanged = true;
            mSender.disseminate(claim, true);
        }
    }

    private List<PeerUpdate> list(String after) {
        List<PeerUpdate> page = new ArrayList<>();
        for (PeerRecord record : mTable.after(after.isEmpty() ? null : new InstanceId(after))) {
            if (page.size() < PeerSender.PAGE && record.verdict() != Verdict.GONE) {
                page.add(record.update(true));
            }
        }
        return page;
    }

    private void requestNextPage(PeerMessage message, ServerAddress from) {
        List<PeerUpdate> page = message.updates();
        if (page.size() >= PeerSender.PAGE) {
            mSender.requestList(from, page.get(page.size() - 1).id().value());
        }
    }

    private void contactSeeds(long now) {
        long idleTicks = ticksOf(mSettings.idlePeriod().toNanos());
        boolean recentlyStarted = now - mStart < mSettings.idleAfter().toNanos();
        if (recentlyStarted || mTicks % idleTicks == 0) {
            mSeeds.stream()
                    .filter(seed -> !mTable.knowsAddress(seed))
                    .forEach(seed -> mSender.requestList(seed, ""));
        }
    }

    private long ticksOf(long nanos) {
        return Math.max(1, nanos / mSettings.period().toNanos());
    }

    /**
     * Sends a neighbor its heartbeat, or requests its place if none of its heartbeats was received
     * yet.
     */
    private void sendTo(PeerRecord record, long now) {
        boolean idle = record.sinceLastSign(now) >= mSettings.idleAfter().toNanos();
        long slack = mSettings.period().toNanos() / 2;
        if (idle && record.sinceSent(now) < mSettings.idlePeriod().toNanos() - slack) {
            return;
        }
        record.recordSent(now);
        ServerAddress to = record.place().internal();
        if (record.hasReceived()) {
            mSender.heartbeat(to, false, List.of());
        } else {
            mSender.requestPlace(to);
        }
    }

    /**
     * Sends heartbeats to the instances that send theirs to this one although it did not pick them
     * as neighbors.
     */
    private void answerOthers(long now) {
        long deadAfter = mSettings.deadAfter().toNanos();
        for (PeerRecord record : mTable.records()) {
            if (!record.isWatched() && record.isPicked(deadAfter, now)) {
                mSender.answer(record.place().internal(), false, List.of());
            }
        }
    }

    /** Reports a few members to one neighbor. */
    private void reportInTurn(long now) {
        List<PeerRecord> live =
                mTable.watched(now).stream().filter(r -> r.verdict() == Verdict.ALIVE).toList();
        boolean mesh = mTable.isFullMesh();
        if (live.isEmpty()) {
            return;
        }
        PeerRecord to = live.get((int) (mTicks % live.size()));
        if (LIST_TICKS.contains(mTicks)) {
            mSender.requestList(to.place().internal(), "");
        }
        if (mesh && mTicks % MESH_REPORT_TICKS != 0) {
            return;
        }
        List<PeerUpdate> reported = new ArrayList<>();
        int maximum = mesh ? 1 : MAXIMUM_REPORTED_IN_TURN;
        for (PeerRecord record : mTable.after(mTurn)) {
            if (reported.size() < maximum && record != to && record.verdict() == Verdict.ALIVE) {
                reported.add(record.update(true));
            }
        }
        mTurn = reported.isEmpty() ? null : reported.get(reported.size() - 1).id();
        if (!reported.isEmpty()) {
            mSender.heartbeat(to.place().internal(), false, reported);
        }
    }
}
