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
 * State machine that tracks which instances are live from heartbeats, relayed updates and the
 * platform's list; see docs/design/membership.md for the states.
 *
 * <p>Not thread-safe. The table never blocks and reads only the monotonic time of its time source.
 * It passes messages to be sent to a {@link MembershipSink}.
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
     * Creates a table that contains this instance only.
     *
     * @param self the state that this instance reports about itself
     * @param timings the timings of the membership protocol
     * @param timeSource the source of the monotonic time
     * @param sink the callback for messages to send and for changed members
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
     * Sets the assignment of availability zones to regions.
     *
     * @param regions returns the region of an availability zone, or empty if there is none
     */
    public void setRegions(Function<ZoneId, Optional<RegionId>> regions) {
        mRegions = Assert.notNull(regions, "The regions of availability zones");
    }

    /** Sets whether this instance is stopping as planned, which subsequent heartbeats report. */
    public void setLeaving(boolean leaving) {
        mSelf.setLeaving(leaving);
    }

    /** Sets the configuration version in force here, which subsequent heartbeats report. */
    public void setConfiguration(ConfigurationVersion version) {
        mSelf.setConfiguration(version);
    }

    /**
     * Replaces the platform's list of instances.
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
     * Processes a heartbeat that was received directly from a run of an instance.
     *
     * @param own the state that the sender reports about itself
     * @param others updates of other members that it relays
     * @param all whether the updates are the full state of the sender, which is not relayed
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
        others.forEach(update -> merge(update, own.id(), !all));
        mDisseminator.flush(neighbors());
        if (!isKnownRun(own)) {
            return;
        }
        mPauseDetector.receiveHeartbeat(own.id(), mTimeSource.monotonicNanos());
        if (newRun
                || (others.isEmpty()
                        && mDigestComparison.mustSendAll(own.id(), digest(), digest))) {
            sendAllTo(own.id());
        }
    }

    /**
     * Processes an instance's request for a newer update of a run: answers it, or relays it to the
     * run.
     *
     * @param from the requesting instance
     * @param run the run
     * @param sequence the sequence of the newest heartbeat of the run that the requesting instance
     *     knows
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
     * Records that the last connection to a run of an instance was closed, and sends a heartbeat to
     * determine whether the run has terminated.
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
     * Records that the address of an instance refused a connection.
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

    /**
     * Evaluates all timeouts: detects a pause of this process, requests updates, suspects members,
     * declares suspects dead and removes the records of dead members.
     */
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
     * Sends a heartbeat to one instance, which may not know this instance yet.
     *
     * @param to the instance
     */
    public void sendHeartbeat(InstanceId to) {
        mSink.send(to, mSelf.next(), List.of());
    }

    /** Notifies every neighbor that this run is terminating. */
    public void announceTermination() {
        MemberUpdate own = mSelf.next().withClaim(MemberClaim.TERMINATED);
        neighbors().forEach(id -> mSink.send(id, own, List.of()));
    }

    /**
     * Returns a digest of the members, with which two instances compare their views.
     *
     * @return a digest that is equal for the same set of runs that have not ended, with the same
     *     leaving flags
     */
    public long digest() {
        return mOthersDigest + MemberDigest.of(mSelf.current());
    }

    /** Returns an immutable snapshot of the current view. */
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
     * Determines whether this process was paused and has not yet received heartbeats from a
     * majority of the other instances of its region since. Its view is stale then, and another
     * instance may have taken over its work.
     *
     * @return {@code true} if the view of this instance is stale
     */
    public boolean isSelfPaused() {
        return mPauseDetector.isPaused(this::othersOfOwnRegion);
    }

    /** Returns the instances with which this instance exchanges heartbeats. */
    public Set<InstanceId> neighbors() {
        return mNeighborhood.of(mRecords.values(), mTimeSource.monotonicNanos());
    }

    private Set<InstanceId> othersOfOwnRegion() {
        Optional<RegionId> own = mRegions.apply(mSelf.zone());
        Set<InstanceId> others = new HashSet<>();
        for (MemberRecord record : mRecords.values()) {
            boolean inOwnRegion = mRegions.apply(record.update().zone()).equals(own);
            if (inOwnRegion && record.hasReceivedUpdate() && record.state() != MemberState.DEAD) {
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

    private boolean isKnownRun(MemberUpdate update) {
        MemberRecord record = mRecords.get(update.id());
        return record != null
                && record.hasReceivedUpdate()
                && record.update().incarnation().equals(update.incarnation());
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

    private void merge(MemberUpdate update, InstanceId reporter, boolean disseminate) {
        if (update.id().equals(mSelf.id())) {
            mergeAboutSelf(update);
            return;
        }
        long now = mTimeSource.monotonicNanos();
        MemberRecord record = mRecords.get(update.id());
        if (record == null) {
            if (!update.claim().isEnd()) {
                accept(add(new MemberRecord(update, now)), update, reporter, disseminate);
            }
        } else if (!record.hasReceivedUpdate()
                || update.supersedes(record.update())
                || record.isRestartWithEarlierClock(update, reporter)) {
            accept(record, update, reporter, disseminate);
        }
    }

    private void accept(
            MemberRecord record, MemberUpdate update, InstanceId reporter, boolean disseminate) {
        boolean wasTerminated = record.isTerminated();
        mOthersDigest -= record.digest();
        boolean changed = record.apply(update, mTimeSource.monotonicNanos());
        mOthersDigest += record.digest();
        if (wasTerminated != record.isTerminated()) {
            mNeighborhood.membersChanged();
        }
        mDisseminator.answerRequesters(update);
        if (changed) {
            mSink.memberChanged(record.member());
        }
        if (changed && disseminate) {
            mDisseminator.disseminate(update, reporter);
        }
    }

    private void mergeAboutSelf(MemberUpdate update) {
        Incarnation own = mSelf.state().incarnation();
        if (update.incarnation().number() > own.number()) {
            mSuperseded |= !update.claim().isEnd();
        } else if (update.incarnation().equals(own) && update.claim() != MemberClaim.LIVE) {
            mSelf.supersede(update.sequence());
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
        if (mFailureDetector.mustRemove(record, now)) {
            remove(record, now);
        }
    }

    private void remove(MemberRecord record, long now) {
        mDigestComparison.remove(record.id());
        mRecords.remove(record.id());
        mNeighborhood.membersChanged();
        if (record.isListed()) {
            add(record.expectedAgain(now));
        }
    }

    private void claim(MemberRecord record, MemberClaim claim) {
        accept(record, record.update().withClaim(claim), mSelf.id(), true);
    }

    private void requestUpdateFromNeighbors(MemberRecord record) {
        Incarnation run = record.update().incarnation();
        int requested = 0;
        for (InstanceId id : Rendezvous.order(run.toString(), neighbors())) {
            if (id.equals(record.id()) || !mRecords.get(id).state().isReachable()) {
                continue;
            }
            mSink.requestUpdate(id, run, record.update().sequence());
            requested++;
            if (requested == UPDATE_REQUEST_FANOUT) {
                return;
            }
        }
    }
}
