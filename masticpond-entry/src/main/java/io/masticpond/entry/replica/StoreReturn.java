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
 */
final class StoreReturn {

    private static final Logger sLogger = LoggerFactory.getLogger(StoreReturn.class);

    private final ReplicaContext mContext;
    private final Collection<CategoryCopy> mCopies;
    private final List<CategoryFollower> mFollowers;
    private final Runnable mApplied;
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mEra;
    private Runnable mSettleTimer = () -> {};
    private Runnable mBelieveTimer = () -> {};

    /**
     * Begins in the era of the first answer.
     *
     * @param context the store, clocks and times
     * @param copies all copies
     * @param followers what follows them in the store
     * @param applied hears that the copies may have changed
     */
    StoreReturn(
            ReplicaContext context,
            Collection<CategoryCopy> copies,
            List<CategoryFollower> followers,
            Runnable applied) {
        mContext = context;
        mCopies = copies;
        mFollowers = followers;
        mApplied = applied;
    }

    void whenReturned(Runnable listener) {
        mListeners.add(listener);
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
                returned();
            }
        }
        for (CategoryFollower follower : mFollowers) {
            follower.checkEra(mEra);
        }
    }

    private boolean isOutdated(CategoryCopy copy) {
        boolean isOfEarlierEra = StoreRevision.era(copy.revision()) < mEra;
        return copy.isReturning() || copy.isListed() && isOfEarlierEra;
    }

    private void returned() {
        sLogger.warn("STORE  era {}: what is in force stays until writers have written", mEra);
        stop();
        ReplicaSettings.Outage times = mContext.settings().outage();
        mSettleTimer = mContext.scheduler().schedule(times.confirmWithin(), this::settle);
        mBelieveTimer = mContext.scheduler().schedule(times.returnedAfter(), this::believe);
        mListeners.forEach(Runnable::run);
    }

    void stop() {
        mSettleTimer.run();
        mBelieveTimer.run();
    }

    private void settle() {
        long nowNanos = mContext.time().monotonicNanos();
        int kept = 0;
        for (CategoryCopy copy : mCopies) {
            kept += copy.keptOverReturn();
            copy.settle(nowNanos);
            // Servers that have left do not write; their entries expire.
            if (copy.category() != Category.BACKEND_SERVERS) {
                copy.believeReturned(nowNanos);
            }
        }
        sLogger.info("STORE  era {}: settled, {} documents were not written again", mEra, kept);
        mApplied.run();
    }

    private void believe() {
        long nowNanos = mContext.time().monotonicNanos();
        mCopies.forEach(copy -> copy.believeReturned(nowNanos));
        mApplied.run();
    }
}
