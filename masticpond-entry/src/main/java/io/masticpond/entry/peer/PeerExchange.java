package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.entry.peer.PeerRecord.Verdict;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Exchanges heartbeats and news with other instances; knows no sockets and no timers. Used by the
 * control thread alone.
 *
 * <p>While they are few, all exchange heartbeats with each other and each is believed about itself
 * alone. Many exchange heartbeats with a few neighbors and pass news on at once: who is new,
 * restarted, ready, leaving, or silent to a neighbor of it. Who knows better answers. Besides, each
 * tells one neighbor at a time of a few members in turn, which mends what was lost on the way.
 */
final class PeerExchange {

    private static final int TURN_IN_MESH = 5;
    private static final int REPORTED_IN_TURN = 3;

    /** The periods in which a new instance asks somebody for the list of members once more. */
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
        seeds(seeds);
        mTable = new PeerTable(self, settings, listener);
        mSender = new PeerSender(self, output);
        mStart = now;
        mLastTick = now;
    }

    /** Tells of this instance and all others that are known. */
    List<PeerMember> members(long now) {
        List<PeerMember> members = new ArrayList<>(mTable.members(now));
        members.add(new PeerMember(mSelf.instance(), PeerMember.State.SELF, mSelf.isLeaving(), 0));
        members.sort((one, other) -> one.instance().id().compareTo(other.instance().id()));
        return members;
    }

    /** Takes other seeds in place of those before. */
    void seeds(List<ServerAddress> seeds) {
        ServerAddress own = mSelf.place().internal();
        mSeeds = seeds.stream().filter(seed -> !seed.equals(own)).toList();
    }

    /** Takes instances that are listed elsewhere; they count as alive once they are heard. */
    void known(List<PeerInstance> instances, long now) {
        mChanged = true;
        for (PeerInstance instance : instances) {
            PeerPlace place = PeerPlace.of(instance);
            if (instance.id().equals(mSelf.id())) {
                mSelf.startAbove(instance.incarnation());
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

    /** Does what is due each period. */
    void tick(long now) {
        if (now - mLastTick > 2 * mSettings.period().toNanos()) {
            mTable.limitInactivity(now);
        }
        mLastTick = now;
        mTicks++;
        mChanged = true;
        mSelf.next();
        evaluate(now);
        contactSeeds(now);
        for (PeerRecord record : mTable.watched(now)) {
            sendTo(record, now);
        }
        answerOthers(now);
        reportInTurn(now);
    }

    /** Judges all anew, and passes on who fell silent. */
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

    /** Tells a change of this instance to all who must hear it at once. */
    void announce(long now) {
        mSelf.next();
        mChanged = true;
        boolean mesh = mTable.isFullMesh();
        mTable.watched(now).forEach(r -> mSender.heartbeat(r.place().internal(), !mesh, List.of()));
    }

    /** Tells whether an instance is a neighbor. */
    boolean watches(InstanceId id) {
        PeerRecord record = mTable.get(id);
        return record != null && record.isWatched();
    }

    boolean hasPendingUpdates() {
        return mSender.hasPendingUpdates();
    }

    /** Passes on what was kept for the neighbors. */
    void flush(long now) {
        mSender.flush(
                mTable.watched(now).stream().filter(r -> r.verdict() != Verdict.GONE).toList());
    }

    /** Tells, once, whether the snapshot changed since this was asked last. */
    boolean takeChanged() {
        boolean changed = mChanged || mTable.takeChanged();
        mChanged = false;
        return changed;
    }

    PeerSnapshot snapshot(long now) {
        boolean young = now - mStart < mSettings.cutOffFor().toNanos();
        long unknown = young ? mSeeds.stream().filter(s -> !mTable.knowsAddress(s)).count() : 0;
        return mTable.snapshot(mSelf.instance(), (int) unknown, now);
    }

    /** Takes a datagram. */
    void receive(PeerMessage message, ServerAddress from, long now) {
        PeerUpdate sender = message.sender();
        if (sender.id().equals(mSelf.id())) {
            receiveAboutSelf(sender, now);
            return;
        }
        if (!receiveSender(sender, from, now)) {
            return;
        }
        message.updates().forEach(news -> receiveUpdate(news, from, now));
        switch (message.kind()) {
            case HEARTBEAT -> mTable.get(sender.id()).picked(now);
            case ANSWER -> {}
            case ASK -> mSender.answer(from, true, List.of());
            case LIST_ASK -> mSender.page(from, list(message.listAfter()));
            case LIST_PAGE -> requestNextPage(message, from);
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private boolean receiveSender(PeerUpdate news, ServerAddress from, long now) {
        PeerRecord record = mTable.get(news.id());
        if (record == null && news.place().isEmpty()) {
            mSender.requestPlace(from);
            return false;
        }
        if (record == null) {
            record = mTable.add(news.id(), news.place().get(), news.incarnation(), now);
        }
        if (news.incarnation() < record.incarnation()) {
            mSender.answer(from, true, List.of(record.update(false)));
            return false;
        }
        boolean wasClaimed = record.isClaimed();
        boolean changed = record.applyUpdate(news, now);
        record.received(news, now);
        mTable.evaluate(record, now);
        mChanged |= changed;
        if (changed || wasClaimed) {
            disseminate(record, wasClaimed);
        }
        return true;
    }

    private void receiveAboutSelf(PeerUpdate news, long now) {
        if (mSelf.supersede(news)) {
            announce(now);
            if (!mTable.isFullMesh()) {
                mSender.disseminate(mSelf.update(true), true);
            }
        }
    }

    private void receiveUpdate(PeerUpdate news, ServerAddress from, long now) {
        if (news.id().equals(mSelf.id())) {
            receiveAboutSelf(news, now);
            return;
        }
        PeerRecord record = mTable.get(news.id());
        if (record == null) {
            receiveAboutUnknown(news, now);
        } else if (news.state() == PeerUpdate.State.SILENT) {
            receiveClaim(record, news, from, now);
        } else if (record.isClaimed()
                && !news.isLaterThan(record.incarnation(), record.lastSequence())) {
            mSender.answer(from, false, List.of(record.claimUpdate()));
        } else if (news.isLaterThan(record.incarnation(), record.lastSequence())) {
            boolean wasClaimed = record.isClaimed();
            if (record.applyUpdate(news, now)) {
                mTable.evaluate(record, now);
                mChanged = true;
                disseminate(record, wasClaimed);
            }
        }
    }

    private void receiveAboutUnknown(PeerUpdate news, long now) {
        boolean unknown = news.place().isEmpty() || news.state() == PeerUpdate.State.SILENT;
        if (unknown || mTable.isTaken(news.place().get(), news.incarnation())) {
            return;
        }
        PeerRecord record = mTable.add(news.id(), news.place().get(), news.incarnation(), now);
        record.applyUpdate(news, now);
        mTable.evaluate(record, now);
        mChanged = true;
        if (mTable.isFullMesh()) {
            sendTo(record, now);
        }
        disseminate(record, false);
    }

    /** Passes news on, unless all hear them from the instance itself. */
    private void disseminate(PeerRecord record, boolean wasClaimed) {
        if (!mTable.isFullMesh()) {
            boolean leaves = record.state() == PeerUpdate.State.LEAVING;
            mSender.disseminate(record.update(true), wasClaimed || leaves);
        }
    }

    private void receiveClaim(PeerRecord record, PeerUpdate claim, ServerAddress from, long now) {
        if (record.supersedes(claim)) {
            mSender.answer(from, false, List.of(record.update(true)));
        } else if (!mTable.isFullMesh() && record.claim(now)) {
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
        long quietTicks = ticksOf(mSettings.idlePeriod().toNanos());
        boolean young = now - mStart < mSettings.idleAfter().toNanos();
        if (young || mTicks % quietTicks == 0) {
            mSeeds.stream()
                    .filter(seed -> !mTable.knowsAddress(seed))
                    .forEach(seed -> mSender.requestList(seed, ""));
        }
    }

    private long ticksOf(long nanos) {
        return Math.max(1, nanos / mSettings.period().toNanos());
    }

    /** Sends a neighbor its heartbeat, or asks it where it was never heard. */
    private void sendTo(PeerRecord record, long now) {
        boolean quiet = record.sinceSign(now) >= mSettings.idleAfter().toNanos();
        long slack = mSettings.period().toNanos() / 2;
        if (quiet && record.sinceSent(now) < mSettings.idlePeriod().toNanos() - slack) {
            return;
        }
        record.sent(now);
        ServerAddress to = record.place().internal();
        if (record.hasReceived()) {
            mSender.heartbeat(to, false, List.of());
        } else {
            mSender.requestPlace(to);
        }
    }

    /** Sends heartbeats to those who send theirs to this instance though it did not pick them. */
    private void answerOthers(long now) {
        long near = mSettings.deadAfter().toNanos();
        for (PeerRecord record : mTable.records()) {
            if (!record.isWatched() && record.isPicked(near, now)) {
                mSender.answer(record.place().internal(), false, List.of());
            }
        }
    }

    /** Tells one neighbor of a few members. */
    private void reportInTurn(long now) {
        List<PeerRecord> near =
                mTable.watched(now).stream().filter(r -> r.verdict() == Verdict.ALIVE).toList();
        boolean mesh = mTable.isFullMesh();
        if (near.isEmpty()) {
            return;
        }
        PeerRecord to = near.get((int) (mTicks % near.size()));
        if (LIST_TICKS.contains(mTicks)) {
            mSender.requestList(to.place().internal(), "");
        }
        if (mesh && mTicks % TURN_IN_MESH != 0) {
            return;
        }
        List<PeerUpdate> told = new ArrayList<>();
        int most = mesh ? 1 : REPORTED_IN_TURN;
        for (PeerRecord record : mTable.after(mTurn)) {
            if (told.size() < most && record != to && record.verdict() == Verdict.ALIVE) {
                told.add(record.update(true));
            }
        }
        mTurn = told.isEmpty() ? null : told.get(told.size() - 1).id();
        if (!told.isEmpty()) {
            mSender.heartbeat(to.place().internal(), false, told);
        }
    }
}
