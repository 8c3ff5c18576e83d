package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Keeps which instances are live, from heartbeats, news that others pass on, and the platform's
 * list; see docs/design/membership.md for the states.
 *
 * <p>A state machine for one thread: it never blocks and reads time only from the clock that it was
 * given, and of that only elapsed time. What it wants sent it tells a {@link MembershipSink}.
 *
 * @since 0.1
 */
public final class MembershipTable {

    private static final int UPDATE_REQUEST_FANOUT = 3;

    private final OwnHeartbeat mSelf;
    private final FailureDetector mFailureDetector;
    private final TimeSource mTimeSource;
    private final MembershipSink mSink;
    private final Map<InstanceId, MemberRecord> mRecords = new TreeMap<>();
    private final UpdateRequestRelay mRequestRelay;
    private final UpdateDisseminator mDisseminator;
    private final Neighborhood mNeighborhood;
    private final DigestComparison mDigestComparison = new DigestComparison();
    private final PauseDetector mPauseDetector;
    private Function<ZoneId, Optional<RegionId>> mRegions = zone -> Optional.empty();
    private boolean mRosterKnown;
    private boolean mSuperseded;
    private long mOthersDigest;

    /**
     * Makes a table that knows this instance only.
     *
     * @param self what this instance states about itself
     * @param timings the times
     * @param timeSource the clock
     * @param sink takes what is to be sent and what was learned
     */
    public MembershipTable(
            OwnState self, MembershipTimings timings, TimeSource timeSource, MembershipSink sink) {
        mSelf = new OwnHeartbeat(self);
        mFailureDetector = new FailureDetector(Assert.notNull(timings, "The times of membership"));
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mSink = Assert.notNull(sink, "A sink");
        mRequestRelay = new UpdateRequestRelay(timings.dead().toNanos());
        mDisseminator = new UpdateDisseminator(mSelf, sink, mRequestRelay);
        mNeighborhood = new Neighborhood(mSelf.id(), mSelf.zone());
        mPauseDetector = new PauseDetector(timings, timeSource.monotonicNanos());
    }

    /**
     * Takes how availability zones belong to regions.
     *
     * @param regions gives the region of an availability zone, or empty if there is none
     */
    public void setRegions(Function<ZoneId, Optional<RegionId>> regions) {
        mRegions = Assert.notNull(regions, "The regions of availability zones");
    }

    /**
     * Says whether this instance stops as planned; heartbeats tell it from now on.
     *
     * @param leaving whether it does
     */
    public void setLeaving(boolean leaving) {
        mSelf.setLeaving(leaving);
    }

    /**
     * Says which configuration this instance has in force; heartbeats tell it from now on.
     *
     * @param version the version
     */
    public void setConfiguration(ConfigurationVersion version) {
        mSelf.setConfiguration(version);
    }

    /**
     * Takes the platform's list of instances in place of the one before.
     *
     * @param listed the entries
     */
    public void updateListedMembers(Collection<ListedMember> listed) {
        long now = mTimeSource.monotonicNanos();
        mRosterKnown = true;
        mRecords.values().forEach(MemberRecord::markUnlisted);
        for (ListedMember entry : listed) {
            if (entry.id().equals(mSelf.id())) {
                continue;
            }
            MemberRecord record = mRecords.get(entry.id());
            boolean changed = record == null;
            if (changed) {
                record = add(new MemberRecord(entry, now));
            }
            if (record.apply(entry) || changed) {
                mSink.memberChanged(record.member());
            }
        }
        if (mRecords.values()
                .removeIf(record -> !record.isListed() && !record.hasReceivedUpdate())) {
            mNeighborhood.membersChanged();
        }
    }

    /**
     * Takes a heartbeat that came directly from a run of an instance.
     *
     * @param own what the sender states about itself
     * @param others news that it passes on
     * @param all whether the news are all that the sender knows, and so need not be passed on
     * @param digest the digest of the sender
     */
    public void receiveHeartbeat(
            MemberUpdate own, List<MemberUpdate> others, boolean all, long digest) {
        if (own.id().equals(mSelf.id())) {
            return;
        }
        mRosterKnown |= all;
        boolean newRun = !isKnownRun(own);
        merge(own, own.id(), true);
        others.forEach(news -> merge(news, own.id(), !all));
        mDisseminator.flush(neighbors());
        if (!isKnownRun(own)) {
            return;
        }
        mPauseDetector.receiveHeartbeat(own.id(), mTimeSource.monotonicNanos());
        if (newRun || (others.isEmpty() && mDigestComparison.differs(own.id(), digest(), digest))) {
            sendAllTo(own.id());
        }
    }

    /**
     * Takes the question of an instance for newer news of a run; answers it, or asks the run.
     *
     * @param from who asks
     * @param run the run
     * @param sequence the newest heartbeat of it that the asker knows
     */
    public void receiveUpdateRequest(InstanceId from, Incarnation run, long sequence) {
        MemberRecord record = mRecords.get(run.instance());
        if (run.instance().equals(mSelf.id())) {
            sendHeartbeat(from);
        } else if (record != null && record.update().isNewerThan(run, sequence)) {
            mSink.send(from, mSelf.next(), List.of(record.update()));
        } else if (record != null
                && mRequestRelay.add(run.instance(), from, mTimeSource.monotonicNanos())) {
            mSink.requestUpdate(run.instance(), run, sequence);
        }
    }

    /**
     * Notes that the last connection to a run of an instance broke; a heartbeat finds out why.
     *
     * @param run the run
     */
    public void onDisconnected(Incarnation run) {
        MemberRecord record = mRecords.get(run.instance());
        if (record == null || !record.update().incarnation().equals(run) || !isWatched(record)) {
            return;
        }
        record.markDisconnected();
        sendHeartbeat(run.instance());
    }

    /**
     * Notes that nothing listens at the address of an instance.
     *
     * @param id the instance
     */
    public void onConnectionRefused(InstanceId id) {
        MemberRecord record = mRecords.get(id);
        if (record != null) {
            record.markConnectionRefused();
            evaluate(record, mTimeSource.monotonicNanos());
            mDisseminator.flush(neighbors());
        }
    }

    /** Lets time act: notices an own pause, asks, suspects, buries and forgets. */
    public void advance() {
        long now = mTimeSource.monotonicNanos();
        if (mPauseDetector.advance(now)) {
            mRecords.values().forEach(record -> record.resetInactivity(now));
        }
        mRequestRelay.expire(now);
        for (MemberRecord record : List.copyOf(mRecords.values())) {
            evaluate(record, now);
        }
        mDisseminator.flush(neighbors());
    }

    /** Sends a heartbeat to every neighbor. */
    public void sendHeartbeats() {
        MemberUpdate own = mSelf.next();
        neighbors().forEach(id -> mSink.send(id, own, List.of()));
    }

    /**
     * Sends a heartbeat to one instance, which may not know of this one.
     *
     * @param to the instance
     */
    public void sendHeartbeat(InstanceId to) {
        mSink.send(to, mSelf.next(), List.of());
    }

    /** Tells every neighbor that this run ends now. */
    public void announceTermination() {
        MemberUpdate own = mSelf.next().withClaim(MemberClaim.TERMINATED);
        neighbors().forEach(id -> mSink.send(id, own, List.of()));
    }

    /**
     * Sums up who is a member, so that two instances can compare what they know.
     *
     * @return the same number for the same runs with the same ends and leaving flags
     */
    public long digest() {
        return mOthersDigest + MemberDigest.of(mSelf.current());
    }

    /**
     * Gives what is known now.
     *
     * @return an immutable copy
     */
    public MembershipView view() {
        Map<InstanceId, Member> members = new TreeMap<>();
        Set<InstanceId> missing = new HashSet<>();
        for (MemberRecord record : mRecords.values()) {
            members.put(record.id(), record.member());
            if (!record.isAccountedFor()) {
                missing.add(record.id());
            }
        }
        members.put(mSelf.id(), mSelf.member());
        return new MembershipView(
                mSelf.state().incarnation(),
                List.copyOf(members.values()),
                missing,
                mRosterKnown && !isSelfPaused() && !mSuperseded,
                mSuperseded,
                mRegions);
    }

    /**
     * Tells whether this process stood still and has not yet heard from a majority of the others of
     * its region since: its view is old, and another may have taken its work over.
     *
     * @return whether the own view is not to be trusted
     */
    public boolean isSelfPaused() {
        return mPauseDetector.isPaused(this::othersOfOwnRegion);
    }

    /**
     * Gives the instances that this one exchanges heartbeats with.
     *
     * @return a copy
     */
    public Set<InstanceId> neighbors() {
        return mNeighborhood.of(mRecords.values(), mTimeSource.monotonicNanos());
    }

    private Set<InstanceId> othersOfOwnRegion() {
        Optional<RegionId> own = mRegions.apply(mSelf.zone());
        Set<InstanceId> others = new HashSet<>();
        for (MemberRecord record : mRecords.values()) {
            boolean near = mRegions.apply(record.update().zone()).equals(own);
            if (near && record.hasReceivedUpdate() && record.state() != MemberState.DEAD) {
                others.add(record.id());
            }
        }
        return others;
    }

    private MemberRecord add(MemberRecord record) {
        mRecords.put(record.id(), record);
        mNeighborhood.membersChanged();
        return record;
    }

    private boolean isWatched(MemberRecord record) {
        return neighbors().contains(record.id());
    }

    private boolean isKnownRun(MemberUpdate news) {
        MemberRecord record = mRecords.get(news.id());
        return record != null
                && record.hasReceivedUpdate()
                && record.update().incarnation().equals(news.incarnation());
    }

    private void sendAllTo(InstanceId to) {
        List<MemberUpdate> all =
                mRecords.values().stream()
                        .filter(MemberRecord::hasReceivedUpdate)
                        .filter(record -> !record.id().equals(to))
                        .map(MemberRecord::update)
                        .toList();
        mSink.sendAll(to, mSelf.next(), all);
    }

    private void merge(MemberUpdate news, InstanceId teller, boolean spread) {
        if (news.id().equals(mSelf.id())) {
            mergeAboutSelf(news);
            return;
        }
        long now = mTimeSource.monotonicNanos();
        MemberRecord record = mRecords.get(news.id());
        if (record == null) {
            if (!news.claim().isEnd()) {
                accept(add(new MemberRecord(news, now)), news, teller, spread);
            }
        } else if (!record.hasReceivedUpdate()
                || news.supersedes(record.update())
                || record.isRestartWithEarlierClock(news, teller)) {
            accept(record, news, teller, spread);
        }
    }

    private void accept(MemberRecord record, MemberUpdate news, InstanceId teller, boolean spread) {
        boolean wasGone = record.isTerminated();
        mOthersDigest -= record.digest();
        boolean changed = record.apply(news, mTimeSource.monotonicNanos());
        mOthersDigest += record.digest();
        if (wasGone != record.isTerminated()) {
            mNeighborhood.membersChanged();
        }
        mDisseminator.answerRequesters(news);
        if (changed) {
            mSink.memberChanged(record.member());
        }
        if (changed && spread) {
            mDisseminator.disseminate(news, teller);
        }
    }

    private void mergeAboutSelf(MemberUpdate news) {
        Incarnation own = mSelf.state().incarnation();
        if (news.incarnation().number() > own.number()) {
            mSuperseded |= !news.claim().isEnd();
        } else if (news.incarnation().equals(own) && news.claim() != MemberClaim.LIVE) {
            mSelf.supersede(news.sequence());
            sendHeartbeats();
        }
    }

    private void evaluate(MemberRecord record, long now) {
        boolean watched = isWatched(record);
        mFailureDetector.evaluate(record, watched, now).ifPresent(claim -> claim(record, claim));
        if (watched && mFailureDetector.mustRequestUpdate(record, now)) {
            record.markUpdateRequested(now);
            requestUpdateFromNeighbors(record);
        }
        if (mFailureDetector.mustForget(record, now)) {
            forget(record, now);
        }
    }

    private void forget(MemberRecord record, long now) {
        mDigestComparison.forget(record.id());
        mRecords.remove(record.id());
        if (record.isListed()) {
            add(record.expectedAgain(now));
        }
    }

    private void claim(MemberRecord record, MemberClaim claim) {
        accept(record, record.update().withClaim(claim), mSelf.id(), true);
    }

    private void requestUpdateFromNeighbors(MemberRecord record) {
        Incarnation run = record.update().incarnation();
        int asked = 0;
        for (InstanceId id : Rendezvous.order(run.toString(), neighbors())) {
            if (id.equals(record.id()) || !mRecords.get(id).state().isReachable()) {
                continue;
            }
            mSink.requestUpdate(id, run, record.update().sequence());
            asked++;
            if (asked == UPDATE_REQUEST_FANOUT) {
                return;
            }
        }
    }
}
