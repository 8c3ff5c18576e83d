package io.masticpond.entry.replica;

import io.masticpond.core.freshness.FreshnessProof;
import io.masticpond.core.time.Moment;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads the routing configuration again, so that this instance can prove that it has the newest. A
 * watch cannot show that: one that tells nothing may be dead, and one that is answered may have
 * been deaf. For the control thread.
 *
 * @since 0.2
 */
public final class RoutingReader {

    private final ReplicaContext mContext;
    private final CategoryCopy mCopy;
    private final RoutingTable mTable;
    private final Runnable mApplied;
    private final BooleanSupplier mIsSettled;
    private Moment mWithheld;
    private Consumer<FreshnessProof> mProven = proof -> {};

    RoutingReader(
            ReplicaContext context,
            CategoryCopy copy,
            RoutingTable table,
            BooleanSupplier isSettled,
            Runnable applied) {
        mIsSettled = isSettled;
        mContext = context;
        mCopy = copy;
        mTable = table;
        mApplied = applied;
    }

    /**
     * Says who hears of proofs, those of lists that were made for another reason included.
     *
     * @param listener the listener, on the control thread
     */
    public void setProofListener(Consumer<FreshnessProof> listener) {
        mProven = listener;
    }

    /**
     * Gives the revision of the newest configuration that could be read.
     *
     * @return the revision, 0 before there is one
     */
    public long revisionInForce() {
        return mTable.revision();
    }

    /**
     * Reads the configuration once.
     *
     * @param ended hears whether it could be read
     */
    public void read(Consumer<Boolean> ended) {
        Moment before = Moment.of(mContext.time());
        mContext.feed()
                .list(
                        Category.ROUTING,
                        mContext.settings().calls().callTimeout(),
                        result -> take(before, result, ended));
    }

    private void take(
            Moment before, Either<FeedError, FeedResult> result, Consumer<Boolean> ended) {
        result.peek(
                content -> {
                    long now = mContext.time().monotonicNanos();
                    mCopy.applyList(
                            CategoryFollower.timestamped(content, now),
                            content.storeRevision(),
                            CopySource.STORE,
                            now);
                    mApplied.run();
                    listed(before);
                });
        ended.accept(result.isRight());
    }

    /**
     * Hears that the copy has taken a list that was asked for at a moment. What a store says that
     * has come back from an older copy proves nothing until its writers have written again.
     */
    void listed(Moment before) {
        if (mIsSettled.getAsBoolean()) {
            mProven.accept(new FreshnessProof(before, mCopy.contentRevision()));
        } else {
            mWithheld = before;
        }
    }

    /**
     * Hears that the store's word counts now.
     *
     * @param hadBefore whether it has counted all along, so that what was read is a proof
     */
    void settled(boolean hadBefore) {
        Moment withheld = mWithheld;
        mWithheld = null;
        if (hadBefore && withheld != null) {
            listed(withheld);
        }
    }
}
