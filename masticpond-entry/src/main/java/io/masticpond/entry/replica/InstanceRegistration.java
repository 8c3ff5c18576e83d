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
 * Tells the store of this instance once, and reads the other instances from it once.
 *
 * <p>Both are tried until done. For the control thread.
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
    private boolean mStopped;

    /**
     * Makes a registration.
     *
     * @param context the store, clocks and times
     * @param name the name of the own object
     * @param content its content, with the era of the store in which the instance has settled
     * @param listed hears the objects of all instances once, this one's perhaps included
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

    /** Lists the instances. */
    public void start() {
        list();
    }

    /**
     * Writes the own object, at the start and again whenever the store may have lost it.
     *
     * @param era the era of the store in which this instance has settled
     */
    public void register(long era) {
        mEra = era;
        put();
    }

    /**
     * Deletes the own object since the instance stops as planned; tried once.
     *
     * @param done runs when the store has answered or failed
     */
    public void stop(Runnable done) {
        mStopped = true;
        mContext.feed()
                .delete(
                        Category.INSTANCES,
                        mName,
                        result -> {
                            result.peekLeft(
                                    error -> sLogger.warn("STORE  the own entry stays: {}", error));
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
        mContext.feed().put(Category.INSTANCES, mName, mContent.apply(mEra), this::put);
    }

    private void put(Either<FeedError, Void> result) {
        if (result.isRight()) {
            sLogger.info("STORE  entered as {}", mName);
            return;
        }
        mPutFailures++;
        mContext.scheduler().schedule(mRetries.after(mPutFailures), this::put);
    }
}
