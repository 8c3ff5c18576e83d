package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracker of restores of the store from older copies: has all categories listed in the new era,
 * gives the writers time to write again what was lost, and then accepts the contents of the store
 * as authoritative. Confined to the control thread.
 *
 * <p>An instance that starts cannot know when the store was restored. The entries of other
 * instances show it: they are written when their instances have settled in an era, so an entry of
 * the current era means that the writers have finished.
 *
 * @since 0.3
 */
public final class StoreRestoreTracker {

    /** Era value if no entry of an instance reports one. */
    public static final long UNREPORTED = -1;

    private static final Logger sLogger = LoggerFactory.getLogger(StoreRestoreTracker.class);

    private final ReplicaContext mContext;
    private final Collection<CategoryCopy> mCopies;
    private final List<CategoryFollower> mFollowers;
    private final Runnable mApplied;
    private final List<Runnable> mListeners = new ArrayList<>();
    private final List<SettledListener> mSettledListeners = new ArrayList<>();
    private boolean mIsSettled;
    private boolean mIsSettling;
    private long mEra;
    private Runnable mSettleTimer = () -> {};
    private Runnable mAcceptTimer = () -> {};

    /**
     * Creates a tracker that starts in the era of the first answer.
     *
     * @param context the store, clocks and times
     * @param copies all copies
     * @param followers the followers of the copies in the store
     * @param applied runs when the copies may have changed
     */
    StoreRestoreTracker(
            ReplicaContext context,
            Collection<CategoryCopy> copies,
            List<CategoryFollower> followers,
            Runnable applied) {
        mContext = context;
        mCopies = copies;
        mFollowers = followers;
        mApplied = applied;
    }

    /**
     * Adds a listener for restores of the store.
     *
     * @param listener runs at each restore
     */
    public void addRestoreListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Adds a listener for the moments from which the contents of the store are authoritative.
     *
     * @param listener notified at the start and after each restore
     */
    public void addSettledListener(SettledListener listener) {
        mSettledListeners.add(listener);
    }

    /**
     * Evaluates the entries of all instances, which were listed at the start.
     *
     * @param newestEra the newest era in which an instance has settled, or {@link #UNREPORTED}
     */
    public void instancesListed(long newestEra) {
        checkEra();
        boolean isSettledElsewhere = newestEra == UNREPORTED || newestEra >= mEra;
        boolean isRestoring = mCopies.stream().anyMatch(CategoryCopy::isRestoring);
        if (!mIsSettled && !isRestoring && isSettledElsewhere) {
            stop();
            becomeSettled(true);
        }
    }

    /**
     * Returns whether the contents of the store are authoritative: its writers have had time to
     * write again.
     */
    boolean isSettled() {
        return mIsSettled;
    }

    /** Checks whether any answer or any peer has reported a new era. */
    void checkEra() {
        long era = mContext.feed().era();
        for (CategoryCopy copy : mCopies) {
            era = Math.max(era, StoreRevision.era(copy.revision()));
        }
        if (era > mEra) {
            mEra = era;
            if (mCopies.stream().anyMatch(this::isOutdated)) {
                onRestored();
            }
        }
        for (CategoryFollower follower : mFollowers) {
            follower.checkEra(mEra);
        }
        if (!mIsSettled && !mIsSettling && mCopies.stream().anyMatch(CategoryCopy::isListed)) {
            startSettling();
        }
    }

    private boolean isOutdated(CategoryCopy copy) {
        return copy.isRestoring() || copy.wasListedBefore(mEra);
    }

    private void onRestored() {
        sLogger.warn(
                "STORE  era {}: the current state is kept until writers have written again", mEra);
        stop();
        mIsSettled = false;
        startSettling();
        mListeners.forEach(Runnable::run);
    }

    private void startSettling() {
        mIsSettling = true;
        ReplicaSettings.Outage times = mContext.settings().outage();
        mSettleTimer = mContext.scheduler().schedule(times.confirmWithin(), this::settle);
        mAcceptTimer =
                mContext.scheduler().schedule(times.acceptRestoredAfter(), this::acceptRestored);
    }

    private void becomeSettled(boolean settledBeforeStart) {
        mIsSettled = true;
        mIsSettling = false;
        mSettledListeners.forEach(listener -> listener.settled(mEra, settledBeforeStart));
    }

    void stop() {
        mSettleTimer.run();
        mAcceptTimer.run();
    }

    private void settle() {
        long nowNanos = mContext.time().monotonicNanos();
        int kept = 0;
        for (CategoryCopy copy : mCopies) {
            kept += copy.countKeptAfterRestore();
            copy.settle(nowNanos);
            // Servers that have left do not write again; their entries expire.
            if (copy.category() != Category.BACKEND_SERVERS) {
                copy.acceptRestored(nowNanos);
            }
        }
        sLogger.info("STORE  era {}: settled, {} documents were not written again", mEra, kept);
        mApplied.run();
        becomeSettled(false);
    }

    private void acceptRestored() {
        long nowNanos = mContext.time().monotonicNanos();
        mCopies.forEach(copy -> copy.acceptRestored(nowNanos));
        mApplied.run();
    }
}
