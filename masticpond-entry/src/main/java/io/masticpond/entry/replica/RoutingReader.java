package io.masticpond.entry.replica;

import io.masticpond.core.freshness.FreshnessProof;
import io.masticpond.core.time.Moment;
import io.vavr.control.Either;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reader that lists the routing configuration again, so that this instance can prove that it has
 * the newest one. A watch cannot prove that: one without changes may be dead, and one that is
 * answered may have missed changes. Confined to the control thread.
 *
 * @since 0.2
 */
public final class RoutingReader {

    private final ReplicaContext mContext;
    private final CategoryCopy mCopy;
    private final RoutingTable mTable;
    private final Runnable mApplied;
    private final BooleanSupplier mIsSettled;
    private Moment mUnprovenRequest;
    private Consumer<FreshnessProof> mProofListener = proof -> {};

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
     * Sets the listener for proofs, including those from lists that were made for another reason.
     *
     * @param listener the listener, on the control thread
     */
    public void setProofListener(Consumer<FreshnessProof> listener) {
        mProofListener = listener;
    }

    /**
     * Returns the revision of the newest readable configuration.
     *
     * @return the revision, 0 before there is one
     */
    public long revisionInForce() {
        return mTable.revision();
    }

    /**
     * Reads the configuration once.
     *
     * @param completed receives whether it could be read
     */
    public void read(Consumer<Boolean> completed) {
        Moment requested = Moment.of(mContext.time());
        mContext.feed()
                .list(
                        Category.ROUTING,
                        mContext.settings().calls().callTimeout(),
                        result -> apply(requested, result, completed));
    }

    private void apply(
            Moment requested, Either<FeedError, FeedResult> result, Consumer<Boolean> completed) {
        result.peek(
                content -> {
                    long now = mContext.time().monotonicNanos();
                    mCopy.applyList(
                            CategoryFollower.timestamped(content, now),
                            content.storeRevision(),
                            CopySource.STORE,
                            now);
                    mApplied.run();
                    mCopy.proof().record(requested, Moment.of(mContext.time()));
                    listed(requested);
                });
        completed.accept(result.isRight());
    }

    /**
     * Records that a list requested at the given moment was applied to the copy. The contents of a
     * store that was restored from an older copy prove nothing until its writers have written
     * again.
     */
    void listed(Moment requested) {
        if (mIsSettled.getAsBoolean()) {
            mProofListener.accept(new FreshnessProof(requested, mCopy.contentRevision()));
        } else {
            mUnprovenRequest = requested;
        }
    }

    /**
     * Records that the contents of the store are authoritative now.
     *
     * @param settledBeforeStart whether they were authoritative before this instance started, so
     *     that a previous read is a proof
     */
    void settled(boolean settledBeforeStart) {
        Moment unproven = mUnprovenRequest;
        mUnprovenRequest = null;
        if (settledBeforeStart && unproven != null) {
            listed(unproven);
        }
    }
}
