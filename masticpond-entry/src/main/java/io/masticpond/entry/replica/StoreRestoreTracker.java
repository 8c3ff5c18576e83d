package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the store through its returns from older copies: has all categories listed in the new
 * era, gives the writers time to write again what was lost, and then takes the store's word. For
 * the control thread.
 *
 * <p>An instance that starts cannot know when the store has come back. The entries of others tell:
 * they are written when their instances have settled in an era, so one of the present era says that
 * its writers are done.
 *
 * @since 0.3
 */
public final class StoreRestoreTracker {

    /** Stands for an era that no entry of an instance tells. */
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
     * Begins in the era of the first answer.
     *
     * @param context the store, clocks and times
     * @param copies all copies
     * @param followers what follows them in the store
     * @param applied hears that the copies may have changed
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
     * Adds a listener of returns.
     *
     * @param listener hears of each
     */
    public void addRestoreListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Adds a listener of the moments from which the store's word counts.
     *
     * @param listener hears it at the start and after each return
     */
    public void addSettledListener(SettledListener listener) {
        mSettledListeners.add(listener);
    }

    /**
     * Hears what the entries of all instances tell, which were read at the start.
     *
     * @param newestEra the newest era in which an instance has settled, or {@link #UNREPORTED}
     */
    public void instancesListed(long newestEra) {
        look();
        boolean isSettledElsewhere = newestEra == UNREPORTED || newestEra >= mEra;
        boolean isReturning = mCopies.stream().anyMatch(CategoryCopy::isRestoring);
        if (!mIsSettled && !isReturning && isSettledElsewhere) {
            stop();
            becomeSettled(true);
        }
    }

    /** Tells whether the store's word counts: its writers have had time to write again. */
    boolean isSettled() {
        return mIsSettled;
    }

    /** Looks whether any answer, or any peer, has told of another era. */
    void look() {
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
        sLogger.warn("STORE  era {}: what is in force stays until writers have written", mEra);
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

    private void becomeSettled(boolean hadBefore) {
        mIsSettled = true;
        mIsSettling = false;
        mSettledListeners.forEach(listener -> listener.settled(mEra, hadBefore));
    }

    void stop() {
        mSettleTimer.run();
        mAcceptTimer.run();
    }

    private void settle() {
        long nowNanos = mContext.time().monotonicNanos();
        int kept = 0;
        for (CategoryCopy copy : mCopies) {
            kept += copy.keptOverRestore();
            copy.settle(nowNanos);
            // Servers that have left do not write; their entries expire.
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
