package io.masticpond.entry.replica;

import io.masticpond.core.freshness.VerificationSchedule;
import io.masticpond.core.time.Moment;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Verifier that no copy misses a change because its watch delivers nothing.
 *
 * <p>A watch without changes cannot be told from one whose connection went silent, and neither the
 * success of other calls nor a newer revision of another kind says anything about it. So each copy
 * needs a proof of its own: a read of the store on a new connection, by this instance or by another
 * one that reports the newest revision of the kind. A watch that has not reported a change which is
 * known by then is replaced. Confined to the control thread.
 *
 * @since 0.3
 */
public final class WatchVerifier {

    /** How long a watch that works may take to report a change after another source has. */
    private static final Duration GRACE = Duration.ofMillis(200);

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(100);

    /** How long a read by this instance may take before it requests the proofs of others. */
    private static final Duration OWN_READ = Duration.ofMillis(300);

    /** Lower bound of the time between two checks. */
    private static final Duration MINIMUM_PAUSE = Duration.ofMillis(20);

    private static final Duration LAST_RETRY = Duration.ofSeconds(8);

    private final ReplicaContext mContext;
    private final StoreHealth mHealth;
    private final Runnable mApplied;
    private final BooleanSupplier mIsRelayed;
    private final Runnable mRelayLags;
    private final List<Verification> mVerifications = new ArrayList<>();
    private ProofPeers mPeers = ProofPeers.NONE;
    private int mRequests;
    private long mRequestedNanos;
    private boolean mIsActive;
    private Runnable mTimer = () -> {};

    /**
     * Creates a verifier.
     *
     * @param context the store, clocks and times
     * @param health records that the store answers
     * @param applied runs after changes were applied to a copy
     * @param isRelayed returns whether other instances watch the store for this one
     * @param relayLags runs when those instances have not reported a known change
     */
    WatchVerifier(
            ReplicaContext context,
            StoreHealth health,
            Runnable applied,
            BooleanSupplier isRelayed,
            Runnable relayLags) {
        mContext = context;
        mHealth = health;
        mApplied = applied;
        mIsRelayed = isRelayed;
        mRelayLags = relayLags;
        mRequestedNanos = context.time().monotonicNanos();
    }

    /** Adds a copy with its follower. */
    void add(CategoryCopy copy, CategoryFollower follower) {
        mVerifications.add(new Verification(copy, follower));
    }

    /**
     * Starts the verification.
     *
     * @param peers the instances whose proofs are requested
     */
    void start(ProofPeers peers) {
        mPeers = peers;
        mIsActive = true;
        check();
    }

    void stop() {
        mIsActive = false;
        mTimer.run();
    }

    /**
     * Returns the proofs of the copies of this instance.
     *
     * @return the proofs; a copy without one is left out
     */
    public List<CopyProof> proofs() {
        Moment now = now();
        List<CopyProof> proofs = new ArrayList<>();
        for (Verification verification : mVerifications) {
            CategoryCopy copy = verification.mCopy;
            copy.proof()
                    .moment()
                    .map(proof -> Duration.ofNanos(Math.max(0, proof.nanosUntil(now))))
                    .map(age -> new CopyProof(copy.category(), age, copy.contentRevision()))
                    .ifPresent(proofs::add);
        }
        return proofs;
    }

    /**
     * Handles the proofs of another instance.
     *
     * @param requested the moment at which they were requested
     * @param proofs the proofs
     */
    public void received(Moment requested, List<CopyProof> proofs) {
        if (!mIsActive) {
            return;
        }
        for (CopyProof proof : proofs) {
            mVerifications.stream()
                    .filter(each -> each.mCopy.category() == proof.category())
                    .forEach(each -> each.received(requested, proof));
        }
        check();
    }

    private void check() {
        Moment now = now();
        Duration pause = LAST_RETRY;
        boolean isProofDue = false;
        for (Verification verification : mVerifications) {
            Duration untilNext = verification.check(now);
            pause = untilNext.compareTo(pause) < 0 ? untilNext : pause;
            isProofDue |= verification.isProofDue(now);
        }
        if (isProofDue && !mHealth.isLost()) {
            requestProofs(now.monotonicNanos());
            pause = REQUEST_INTERVAL.compareTo(pause) < 0 ? REQUEST_INTERVAL : pause;
        } else {
            mRequests = 0;
        }
        pause = pause.compareTo(MINIMUM_PAUSE) < 0 ? MINIMUM_PAUSE : pause;
        mTimer.run();
        mTimer = mContext.scheduler().schedule(pause, this::check);
    }

    private void requestProofs(long nowNanos) {
        boolean isTooSoon =
                mRequests > 0 && nowNanos - mRequestedNanos < REQUEST_INTERVAL.toNanos();
        if (!isTooSoon) {
            mRequestedNanos = nowNanos;
            mPeers.request(mRequests++);
        }
    }

    private Moment now() {
        return Moment.of(mContext.time());
    }

    /** Verification of one copy. */
    private final class Verification {

        private final CategoryCopy mCopy;
        private final CategoryFollower mFollower;
        private final VerificationSchedule mSchedule;
        private final RetryDelays mRetries;
        private final Moment mStart = now();
        private long mNewestRevision;
        private long mMissingSinceNanos;
        private int mRead;
        private boolean mIsReading;
        private int mFailures;
        private long mRetryNanos;
        private Runnable mTimeout = () -> {};

        Verification(CategoryCopy copy, CategoryFollower follower) {
            mCopy = copy;
            mFollower = follower;
            mSchedule = mContext.settings().verification().schedule(copy.category());
            mRetries =
                    new RetryDelays(
                            mContext.settings().calls().lastRetry(), LAST_RETRY, mContext.random());
            mRetryNanos = mStart.monotonicNanos();
        }

        private long ageNanos(Moment now) {
            return mCopy.proof().moment().orElse(mStart).nanosUntil(now);
        }

        /** Another instance has renewed the proof by now, or this one has not succeeded. */
        boolean isProofDue(Moment now) {
            Duration patience = mIsReading ? OWN_READ : REQUEST_INTERVAL;
            return mCopy.isListed()
                    && ageNanos(now) >= mSchedule.readAge().plus(patience).toNanos();
        }

        /** Reads the store and replaces the watch if due, and returns the time until the next. */
        Duration check(Moment now) {
            if (!mCopy.isListed() || mHealth.isLost()) {
                return mSchedule.readAge();
            }
            checkMissing(now.monotonicNanos());
            int rank = mPeers.rank();
            long dueNanos = mSchedule.readAge(rank).toNanos() - ageNanos(now);
            long retryNanos = mRetryNanos - now.monotonicNanos();
            boolean isBusy = mIsReading || mFollower.isListing();
            if (!isBusy && dueNanos <= 0 && retryNanos <= 0) {
                read(now);
                return mContext.settings().calls().callTimeout();
            }
            long untilReadNanos = mSchedule.readAge().toNanos() - ageNanos(now);
            long nextNanos = untilReadNanos > 0 ? untilReadNanos : REQUEST_INTERVAL.toNanos();
            if (mMissingSinceNanos != 0 || mFollower.isChangeMissing()) {
                nextNanos = Math.min(nextNanos, GRACE.toNanos());
            }
            return Duration.ofNanos(nextNanos);
        }

        private void checkMissing(long nowNanos) {
            mFollower.expectChange(Math.max(mNewestRevision, mCopy.contentRevision()));
            mFollower.replaceIfChangeMissing(GRACE);
            if (mCopy.isCompleteUpTo(mNewestRevision)) {
                mMissingSinceNanos = 0;
                return;
            }
            mMissingSinceNanos = mMissingSinceNanos == 0 ? nowNanos : mMissingSinceNanos;
            boolean isOverdue = nowNanos - mMissingSinceNanos >= GRACE.toNanos();
            if (isOverdue && mIsRelayed.getAsBoolean()) {
                mMissingSinceNanos = 0;
                mRelayLags.run();
            }
        }

        void received(Moment requested, CopyProof proof) {
            mNewestRevision = Math.max(mNewestRevision, proof.revision());
            if (mCopy.isCompleteUpTo(proof.revision())) {
                mCopy.proof().record(requested.minusNanos(proof.age().toNanos()), now());
            }
        }

        private void read(Moment requested) {
            int read = ++mRead;
            mIsReading = true;
            Runnable cancel =
                    mContext.feed()
                            .watch(
                                    mCopy.category(),
                                    mCopy.revision(),
                                    StoreFeed.NOT_HELD,
                                    result -> readEnded(read, requested, result));
            if (read != mRead) {
                return;
            }
            mTimeout =
                    mContext.scheduler()
                            .schedule(
                                    mContext.settings().calls().callTimeout(),
                                    () -> {
                                        cancel.run();
                                        readEnded(
                                                read,
                                                requested,
                                                Either.left(FeedError.UNREACHABLE));
                                    });
        }

        private void readEnded(int read, Moment requested, Either<FeedError, FeedResult> result) {
            if (read != mRead) {
                return;
            }
            mRead++;
            mIsReading = false;
            mTimeout.run();
            // A pending list may be older than the result, and would then be dropped as outdated.
            if (!mIsActive || mFollower.isListing()) {
                return;
            }
            if (result.isRight()) {
                mFailures = 0;
                apply(requested, result.get());
            } else {
                readFailed(result.getLeft());
            }
            check();
        }

        private void apply(Moment requested, FeedResult changes) {
            mHealth.succeeded();
            Moment now = now();
            mCopy.applyChanges(
                    CategoryFollower.timestamped(changes, now.monotonicNanos()),
                    changes.storeRevision(),
                    CopySource.STORE,
                    now.monotonicNanos());
            mCopy.proof().record(requested, now);
            if (!changes.documents().isEmpty()) {
                mApplied.run();
            }
        }

        private void readFailed(FeedError error) {
            mFailures++;
            Duration delay = mFailures == 1 ? Duration.ZERO : mRetries.after(mFailures - 1);
            mRetryNanos = mContext.time().monotonicNanos() + delay.toNanos();
            if (error == FeedError.HISTORY_GONE) {
                mFollower.listAgain();
            }
        }

        private void check() {
            WatchVerifier.this.check();
        }
    }
}
