package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.replica.CategoryCopy.TimestampedDocument;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follower of one category in the store that lists it and then watches for changes, one call at a
 * time.
 *
 * <p>After a failure the next watch is a short one, since a held call does not show whether the
 * store has recovered. The follower pauses while the store is lost. Confined to the control thread.
 */
final class CategoryFollower {

    private static final Logger sLogger = LoggerFactory.getLogger(CategoryFollower.class);

    private static final int MAXIMUM_DOUBLINGS = 3;

    private final StoreFeed mFeed;
    private final CategoryCopy mCopy;
    private final StoreHealth mHealth;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReplicaSettings.Calls mSettings;
    private final SettleTimes mSettle;
    private final RetryDelays mRetries;
    private final Runnable mApplied;
    private final Consumer<Moment> mListed;
    private int mCall;
    private long mCallStartNanos;
    private int mFailures;
    private int mInterruptions;
    private int mHistoryGoneCount;
    private boolean mHistoryGone;
    private boolean mPaused;
    private boolean mListing;
    private boolean mIsCalling;
    private long mCallRevision;
    private boolean mIsChangeMissing;
    private long mMissingSinceNanos;
    private int mReplacements;
    private long mNextReplacementNanos;
    private long mGivenUp;
    private Runnable mCancelCall = () -> {};
    private Runnable mTimer = () -> {};

    /**
     * Creates a follower.
     *
     * @param context the store, clocks and times
     * @param copy the copy to which the answers are applied
     * @param settle determines how long to wait after changes
     * @param health records the outcome of the calls
     * @param applied runs after an answer was applied to the copy
     * @param listed then receives the moment at which an applied list was requested
     */
    CategoryFollower(
            ReplicaContext context,
            CategoryCopy copy,
            SettleTimes settle,
            StoreHealth health,
            Runnable applied,
            Consumer<Moment> listed) {
        mListed = listed;
        mFeed = context.feed();
        mCopy = copy;
        mHealth = health;
        mScheduler = context.scheduler();
        mTime = context.time();
        mSettings = context.settings().calls();
        mSettle = settle;
        mRetries = new RetryDelays(mSettings.firstRetry(), mSettings.lastRetry(), context.random());
        mApplied = applied;
    }

    /** Lists the category, then follows it until {@link #pause}. */
    void start() {
        scheduleNext(Duration.ZERO, this::list);
    }

    /**
     * Makes no further call until {@link #resume}. A pending watch is cancelled, since it may be
     * dead; a pending list completes, since its answer remains valid.
     */
    void pause() {
        mPaused = true;
        if (mListing) {
            return;
        }
        stopCall();
        mTimer.run();
    }

    /** Resumes after a pause, from the last revision seen. */
    void resume() {
        mPaused = false;
        if (mListing) {
            return;
        }
        mFailures = 0;
        scheduleNext(mRetries.after(1), this::catchUp);
    }

    /**
     * Ensures that no change was missed by a watch that may no longer deliver.
     *
     * @param revision the revision of a change that may be missing
     */
    void check(long revision) {
        if (mPaused || mHealth.isFailing()) {
            return;
        }
        // A watch that starts after the change would not report it.
        mHistoryGone |= mCopy.revision() >= revision;
        stopCall();
        catchUp();
    }

    /**
     * Lists again if the copy is of an earlier era: a watch from there may seem complete but miss
     * changes.
     *
     * @param era the newest era that is known
     */
    void checkEra(long era) {
        if (mCopy.wasListedBefore(era) && !mPaused && !mListing) {
            mHistoryGone = true;
            stopCall();
            list();
        }
    }

    /** Returns whether a list is in progress. */
    boolean isListing() {
        return mListing;
    }

    /** Returns the number of watches and lists that were given up without an answer. */
    long givenUpCount() {
        return mGivenUp;
    }

    /** Returns whether the call in progress has not reported a change that is known. */
    boolean isChangeMissing() {
        return mIsChangeMissing;
    }

    /**
     * Records that a change is known from another source, so that the call in progress must report
     * it soon.
     *
     * @param revision the revision of the change
     */
    void expectChange(long revision) {
        if (mIsCalling && !mIsChangeMissing && revision > mCallRevision) {
            mIsChangeMissing = true;
            mMissingSinceNanos = mTime.monotonicNanos();
        }
    }

    /**
     * Replaces the call in progress if it should have reported a known change by now. The pause
     * between replacements grows until a watch reports a change, so that a slow store does not
     * receive ever more calls.
     *
     * @param grace how long a watch may take to report a change
     */
    void replaceIfChangeMissing(Duration grace) {
        if (!mIsChangeMissing) {
            return;
        }
        long nowNanos = mTime.monotonicNanos();
        long sinceNanos = mListing ? mCallStartNanos : mMissingSinceNanos;
        Duration patience = mListing ? mSettings.callTimeout() : grace;
        boolean isOverdue = nowNanos - sinceNanos >= patience.toNanos();
        boolean isTooSoon = mReplacements > 0 && nowNanos - mNextReplacementNanos < 0;
        if (!isOverdue || isTooSoon) {
            return;
        }
        int doublings = Math.min(mReplacements, MAXIMUM_DOUBLINGS);
        mNextReplacementNanos = nowNanos + (mSettings.lastRetry().toNanos() << doublings);
        mReplacements++;
        logGivenUp("it has not reported a change that is known");
        stopCall();
        catchUp();
    }

    /** Lists again, since the store no longer has the history from which this copy continues. */
    void listAgain() {
        if (!mPaused && !mListing) {
            stopCall();
            historyGone();
        }
    }

    private void catchUp() {
        if (!mCopy.isListed() || mHistoryGone) {
            list();
        } else {
            watch(StoreFeed.NOT_HELD);
        }
    }

    private void list() {
        int call = begin(Duration.ZERO, mSettings.listTimeout().plus(mSettings.callTimeout()));
        Moment start = Moment.of(mTime);
        mListing = true;
        mFeed.list(
                mCopy.category(), mSettings.listTimeout(), result -> endList(call, start, result));
    }

    private void endList(int call, Moment start, Either<FeedError, FeedResult> result) {
        if (call != mCall) {
            return;
        }
        end();
        if (result.isLeft()) {
            failed(start.monotonicNanos());
            return;
        }
        mHealth.succeeded();
        mFailures = 0;
        mHistoryGone = false;
        FeedResult content = result.get();
        long nowNanos = mTime.monotonicNanos();
        mCopy.applyList(
                timestamped(content, nowNanos),
                content.storeRevision(),
                CopySource.STORE,
                nowNanos);
        mApplied.run();
        mCopy.proof().record(start, Moment.of(mTime));
        mListed.accept(start);
        scheduleNext(Duration.ZERO, this::follow);
    }

    private void follow() {
        watch(mSettings.watchWait());
    }

    private void watch(Duration wait) {
        int call = begin(wait, mSettings.callTimeout());
        Moment start = Moment.of(mTime);
        Runnable cancel =
                mFeed.watch(
                        mCopy.category(),
                        mCopy.revision(),
                        wait,
                        result -> endWatch(call, start, wait, result));
        if (call == mCall) {
            mCancelCall = cancel;
        }
    }

    private void endWatch(
            int call, Moment start, Duration wait, Either<FeedError, FeedResult> result) {
        if (call != mCall) {
            return;
        }
        end();
        Duration held = Duration.ofNanos(mTime.monotonicNanos() - start.monotonicNanos());
        if (result.isRight()) {
            watchAnswered(result.get(), wait, held);
            mCopy.proof().record(start, Moment.of(mTime));
        } else if (result.getLeft() == FeedError.HISTORY_GONE) {
            historyGone();
        } else if (wait.equals(StoreFeed.NOT_HELD)) {
            failed(start.monotonicNanos());
        } else {
            watchInterrupted(held);
        }
    }

    private void watchAnswered(FeedResult changes, Duration wait, Duration held) {
        mHealth.succeeded();
        mFailures = 0;
        mHistoryGoneCount = 0;
        boolean isShort = wait.equals(StoreFeed.NOT_HELD);
        mInterruptions = isShort ? mInterruptions : 0;
        boolean isReported = !isShort && !changes.documents().isEmpty();
        mReplacements = isReported ? 0 : mReplacements;
        long nowNanos = mTime.monotonicNanos();
        mCopy.applyChanges(
                timestamped(changes, nowNanos),
                changes.storeRevision(),
                CopySource.STORE,
                nowNanos);
        mApplied.run();
        boolean isEmpty = changes.documents().isEmpty();
        boolean isEarly = !isShort && held.compareTo(mSettings.firstRetry()) < 0;
        // Avoids a busy loop on a store that does not hold an empty watch.
        Duration settle =
                isEmpty && isEarly
                        ? mSettings.serverSettle()
                        : mSettle.after(changes.documents().size(), held);
        scheduleNext(settle, this::follow);
    }

    private void historyGone() {
        mHealth.succeeded();
        mHistoryGone = true;
        mHistoryGoneCount++;
        // Avoids a busy loop of lists on a store that drops its history repeatedly.
        scheduleNext(
                mHistoryGoneCount == 1 ? Duration.ZERO : mRetries.after(mHistoryGoneCount),
                this::catchUp);
    }

    private void watchInterrupted(Duration held) {
        if (held.compareTo(mSettings.lastRetry()) >= 0) {
            mInterruptions = 0;
        }
        boolean wasHeld = held.compareTo(mSettings.firstRetry()) >= 0;
        Duration delay =
                mInterruptions == 0 && wasHeld ? Duration.ZERO : mRetries.after(mInterruptions + 1);
        mInterruptions++;
        mHealth.failed(mTime.monotonicNanos());
        scheduleNext(delay, this::catchUp);
    }

    private void failed(long sinceNanos) {
        mFailures++;
        mHealth.failed(sinceNanos);
        scheduleNext(mRetries.after(mFailures), this::catchUp);
    }

    private int begin(Duration wait, Duration timeout) {
        mTimer.run();
        int call = ++mCall;
        mIsCalling = true;
        mIsChangeMissing = false;
        mCallRevision = mCopy.revision();
        mCallStartNanos = mTime.monotonicNanos();
        long dueNanos = mCallStartNanos + wait.toNanos();
        mTimer = mScheduler.schedule(wait.plus(timeout), () -> expire(call, dueNanos));
        return call;
    }

    private void expire(int call, long dueNanos) {
        if (call != mCall) {
            return;
        }
        logGivenUp("it had no answer in time");
        stopCall();
        boolean hasAnsweredOthers = mHealth.succeededNanos() - dueNanos > 0;
        failed(hasAnsweredOthers ? mTime.monotonicNanos() : dueNanos);
    }

    private void logGivenUp(String reason) {
        mGivenUp++;
        sLogger.warn(
                "STORE  {} of {} since revision {} is given up after {} ms: {}",
                mListing ? "list" : "watch",
                mCopy.category(),
                StoreRevision.revision(mCopy.revision()),
                Duration.ofNanos(mTime.monotonicNanos() - mCallStartNanos).toMillis(),
                reason);
    }

    private void end() {
        mCall++;
        mIsCalling = false;
        mIsChangeMissing = false;
        mListing = false;
        mCancelCall = () -> {};
        mTimer.run();
    }

    private void stopCall() {
        mCall++;
        mIsCalling = false;
        mIsChangeMissing = false;
        mListing = false;
        Runnable cancel = mCancelCall;
        mCancelCall = () -> {};
        cancel.run();
    }

    private void scheduleNext(Duration delay, Runnable step) {
        mTimer.run();
        if (mPaused) {
            return;
        }
        mTimer = mScheduler.schedule(delay, step);
    }

    static List<TimestampedDocument> timestamped(FeedResult result, long nowNanos) {
        return result.documents().stream()
                .map(document -> new TimestampedDocument(document, nowNanos))
                .toList();
    }
}
