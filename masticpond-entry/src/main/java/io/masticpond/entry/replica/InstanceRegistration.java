package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registration of this instance in the store, which also lists the other instances once.
 *
 * <p>Both are retried until they succeed. Confined to the control thread.
 *
 * @since 0.2
 */
public final class InstanceRegistration {

    private static final Logger sLogger = LoggerFactory.getLogger(InstanceRegistration.class);

    private static final Duration FIRST_RETRY = Duration.ofSeconds(2);
    private static final Duration LAST_RETRY = Duration.ofSeconds(5);

    private final ReplicaContext mContext;
    private final String mName;
    private final LongFunction<JsonNode> mContent;
    private final Consumer<List<StoredDocument>> mListed;
    private final RetryDelays mRetries;
    private long mEra;
    private int mListFailures;
    private int mPutFailures;
    private boolean mPutInFlight;
    private boolean mPutRequested;
    private Runnable mPutRetry = () -> {};
    private Runnable mPendingDelete = () -> {};
    private boolean mStopped;

    /**
     * Creates a registration.
     *
     * @param context the store, clocks and times
     * @param name the name of this instance's object
     * @param content creates its content for the era of the store in which the instance has settled
     * @param listed receives the objects of all instances once, possibly including this one's
     */
    public InstanceRegistration(
            ReplicaContext context,
            String name,
            LongFunction<JsonNode> content,
            Consumer<List<StoredDocument>> listed) {
        mContext = Assert.notNull(context, "A context");
        mName = Assert.hasText(name, "The name of an instance");
        mContent = Assert.notNull(content, "The content of an instance");
        mListed = Assert.notNull(listed, "A listener");
        mRetries = new RetryDelays(FIRST_RETRY, LAST_RETRY, context.random());
    }

    /** Starts listing the instances. */
    public void start() {
        list();
    }

    /**
     * Writes this instance's object, at the start and again whenever the store may have lost it.
     * During a write the next one waits for its end, since the store may apply two writes in either
     * order.
     *
     * @param era the era of the store in which this instance has settled
     */
    public void register(long era) {
        mEra = era;
        mPutRetry.run();
        if (mPutInFlight) {
            mPutRequested = true;
        } else {
            put();
        }
    }

    /**
     * Deletes this instance's object on a planned stop; not retried. Waits for the end of a write
     * in flight, which the store may otherwise apply after the deletion.
     *
     * @param done runs when the call has succeeded or failed
     */
    public void stop(Runnable done) {
        mStopped = true;
        mPutRetry.run();
        if (mPutInFlight) {
            mPendingDelete = () -> delete(done);
        } else {
            delete(done);
        }
    }

    private void delete(Runnable done) {
        mContext.feed()
                .delete(
                        Category.INSTANCES,
                        mName,
                        result -> {
                            result.peekLeft(
                                    error ->
                                            sLogger.warn(
                                                    "STORE  this instance's entry could not be"
                                                            + " deleted: {}",
                                                    error));
                            done.run();
                        });
    }

    private void list() {
        if (mStopped) {
            return;
        }
        mContext.feed()
                .list(Category.INSTANCES, mContext.settings().calls().listTimeout(), this::listed);
    }

    private void listed(Either<FeedError, FeedResult> result) {
        if (result.isRight()) {
            mListed.accept(result.get().documents());
            return;
        }
        mListFailures++;
        mContext.scheduler().schedule(mRetries.after(mListFailures), this::list);
    }

    private void put() {
        if (mStopped) {
            return;
        }
        mPutInFlight = true;
        mPutRequested = false;
        mContext.feed().put(Category.INSTANCES, mName, mContent.apply(mEra), this::putEnded);
    }

    private void putEnded(Either<FeedError, Void> result) {
        mPutInFlight = false;
        if (mStopped) {
            mPendingDelete.run();
            return;
        }
        if (result.isLeft()) {
            mPutFailures++;
            mPutRetry = mContext.scheduler().schedule(mRetries.after(mPutFailures), this::put);
            return;
        }
        mPutFailures = 0;
        sLogger.info("STORE  registered as {}", mName);
        if (mPutRequested) {
            put();
        }
    }
}
