package io.masticpond.entry.replica;

import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.replica.CategoryCopy.TimestampedDocument;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Follows one category in the store: lists it, then waits for changes, one call at a time.
 *
 * <p>After a failure the next watch is a short one, since a store that holds a call tells nothing
 * of whether it is back. While the store is lost the follower rests. For the control thread.
 */
final class CategoryFollower {

    private static final Duration SHORT_WAIT = Duration.ofMillis(1);

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
    private int mFailures;
    private int mCuts;
    private int mHistoriesGone;
    private boolean mHistoryGone;
    private boolean mPaused;
    private boolean mListing;
    private Runnable mCancelCall = () -> {};
    private Runnable mTimer = () -> {};

    /**
     * Makes a follower.
     *
     * @param context the store, clocks and times
     * @param copy what the answers are put into
     * @param settle says how long to wait after changes
     * @param health hears how the calls end
     * @param applied hears that the copy has taken an answer
     * @param listed hears after that when a list was asked for that the copy has taken
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

    /** Reads the category, then follows it until {@link #pause}. */
    void start() {
        next(Duration.ZERO, this::list);
    }

    /**
     * Makes no further call until {@link #resume}. A wait is ended, since it may be dead; a list is
     * let through, since its answer is as good as any other.
     */
    void pause() {
        mPaused = true;
        if (mListing) {
            return;
        }
        stopCall();
        mTimer.run();
    }

    /** Goes on after a rest, from the revision seen last. */
    void resume() {
        mPaused = false;
        if (mListing) {
            return;
        }
        mFailures = 0;
        next(mRetries.after(1), this::catchUp);
    }

    /**
     * Makes sure that nothing has been missed by a wait that may have gone silent.
     *
     * @param revision the revision of a change that may be missing
     */
    void check(long revision) {
        if (mPaused || mHealth.isFailing()) {
            return;
        }
        // A watch from behind the change would not tell of it.
        mHistoryGone |= mCopy.revision() >= revision;
        stopCall();
        catchUp();
    }

    /**
     * Lists anew if the copy is of an earlier era: a watch from there may look whole and miss
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

    private void catchUp() {
        if (!mCopy.isListed() || mHistoryGone) {
            list();
        } else {
            watch(SHORT_WAIT);
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
        mListed.accept(start);
        next(Duration.ZERO, this::follow);
    }

    private void follow() {
        watch(mSettings.watchWait());
    }

    private void watch(Duration wait) {
        int call = begin(wait, mSettings.callTimeout());
        long startNanos = mTime.monotonicNanos();
        Runnable cancel =
                mFeed.watch(
                        mCopy.category(),
                        mCopy.revision(),
                        wait,
                        result -> endWatch(call, startNanos, wait, result));
        if (call == mCall) {
            mCancelCall = cancel;
        }
    }

    private void endWatch(
            int call, long startNanos, Duration wait, Either<FeedError, FeedResult> result) {
        if (call != mCall) {
            return;
        }
        end();
        Duration held = Duration.ofNanos(mTime.monotonicNanos() - startNanos);
        if (result.isRight()) {
            watchAnswered(result.get(), wait, held);
        } else if (result.getLeft() == FeedError.HISTORY_GONE) {
            historyGone();
        } else if (wait.equals(SHORT_WAIT)) {
            failed(startNanos);
        } else {
            watchCut(held);
        }
    }

    private void watchAnswered(FeedResult changes, Duration wait, Duration held) {
        mHealth.succeeded();
        mFailures = 0;
        mHistoriesGone = 0;
        boolean isShort = wait.equals(SHORT_WAIT);
        mCuts = isShort ? mCuts : 0;
        long nowNanos = mTime.monotonicNanos();
        mCopy.applyChanges(
                timestamped(changes, nowNanos),
                changes.storeRevision(),
                CopySource.STORE,
                nowNanos);
        mApplied.run();
        boolean isEmpty = changes.documents().isEmpty();
        boolean isEarly = !isShort && held.compareTo(mSettings.firstRetry()) < 0;
        // A store that does not hold an empty watch must not be asked without a pause.
        Duration settle =
                isEmpty && isEarly
                        ? mSettings.serverSettle()
                        : mSettle.after(changes.documents().size(), held);
        next(settle, this::follow);
    }

    private void historyGone() {
        mHealth.succeeded();
        mHistoryGone = true;
        mHistoriesGone++;
        // A store that drops its history over and over must not be listed without a pause.
        next(mHistoriesGone == 1 ? Duration.ZERO : mRetries.after(mHistoriesGone), this::catchUp);
    }

    private void watchCut(Duration held) {
        if (held.compareTo(mSettings.lastRetry()) >= 0) {
            mCuts = 0;
        }
        boolean wasHeld = held.compareTo(mSettings.firstRetry()) >= 0;
        Duration delay = mCuts == 0 && wasHeld ? Duration.ZERO : mRetries.after(mCuts + 1);
        mCuts++;
        mHealth.failed(mTime.monotonicNanos());
        next(delay, this::catchUp);
    }

    private void failed(long sinceNanos) {
        mFailures++;
        mHealth.failed(sinceNanos);
        next(mRetries.after(mFailures), this::catchUp);
    }

    private int begin(Duration wait, Duration timeout) {
        mTimer.run();
        int call = ++mCall;
        long dueNanos = mTime.monotonicNanos() + wait.toNanos();
        mTimer = mScheduler.schedule(wait.plus(timeout), () -> expire(call, dueNanos));
        return call;
    }

    private void expire(int call, long dueNanos) {
        if (call != mCall) {
            return;
        }
        stopCall();
        failed(dueNanos);
    }

    private void end() {
        mCall++;
        mListing = false;
        mCancelCall = () -> {};
        mTimer.run();
    }

    private void stopCall() {
        mCall++;
        mListing = false;
        Runnable cancel = mCancelCall;
        mCancelCall = () -> {};
        cancel.run();
    }

    private void next(Duration delay, Runnable step) {
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
