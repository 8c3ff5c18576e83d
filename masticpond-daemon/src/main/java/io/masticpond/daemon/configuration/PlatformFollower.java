package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationHead;
import io.masticpond.core.configuration.ConfigurationReplica;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follower of the head at the platform: by a read on request, or by a watch if this instance is a
 * watcher.
 *
 * <p>Confined to the thread of the configuration's event loop, on which it is called and calls
 * back.
 */
final class PlatformFollower {

    private static final Logger sLogger = LoggerFactory.getLogger(PlatformFollower.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(25);

    private final ChainStore mChain;
    private final ConfigurationReplica mReplica;
    private final Consumer<ConfigurationUpdate> mUpdateHandler;
    private final EventLoopExecutor mExecutor;
    private final TimeSource mTimeSource;
    private final Backoff mBackoff;
    private final CallLimit mCall = new CallLimit(WATCH_TIMEOUT.multipliedBy(2));
    private long mObjectVersion = ObjectStore.ABSENT;
    private boolean mWasReached;

    PlatformFollower(
            ChainStore chain,
            ConfigurationReplica replica,
            Consumer<ConfigurationUpdate> updateHandler,
            EventLoopExecutor executor,
            TimeSource timeSource,
            DoubleSupplier random) {
        mChain = chain;
        mReplica = replica;
        mUpdateHandler = updateHandler;
        mExecutor = executor;
        mTimeSource = timeSource;
        mBackoff = new Backoff(random);
    }

    /** Determines whether the platform has been read at least once. */
    boolean wasReached() {
        return mWasReached;
    }

    /** Reads the head unless a call is running or the backoff after a failure has not passed. */
    void read() {
        if (canCall()) {
            mCall.recordStart(mTimeSource.monotonicNanos());
            mExecutor.whenDone(mChain.readHead(), read -> onHead(read.map(Optional::of)));
        }
    }

    /**
     * Waits for the next head unless a call is running or the backoff after a failure has not
     * passed.
     */
    void watch() {
        if (canCall()) {
            mCall.recordStart(mTimeSource.monotonicNanos());
            mExecutor.whenDone(mChain.watchHead(mObjectVersion, WATCH_TIMEOUT), this::onHead);
        }
    }

    private boolean canCall() {
        long now = mTimeSource.monotonicNanos();
        return !mCall.isRunning(now) && !mBackoff.isPausing(now);
    }

    private void onHead(Either<PlatformError, Optional<HeadObject>> read) {
        mCall.recordEnd();
        if (read.isLeft()) {
            onFailure(read.getLeft());
            return;
        }
        mWasReached = true;
        mBackoff.recordSuccess();
        read.get().ifPresent(this::onHead);
    }

    private void onHead(HeadObject object) {
        ConfigurationHead head = object.head();
        Configuration current = mReplica.current();
        if (!head.version().isAfter(current.version())) {
            mObjectVersion = Math.max(mObjectVersion, object.objectVersion());
            return;
        }
        if (head.advance(current).isPresent()) {
            mObjectVersion = object.objectVersion();
            mUpdateHandler.accept(
                    ConfigurationUpdate.of(head.since(current.version()).orElseThrow()));
            return;
        }
        mCall.recordStart(mTimeSource.monotonicNanos());
        mExecutor.whenDone(mChain.load(head, current), load -> onLoad(object, load));
    }

    private void onLoad(HeadObject object, Either<PlatformError, Configuration> load) {
        mCall.recordEnd();
        if (load.isLeft()) {
            onFailure(load.getLeft());
            return;
        }
        mObjectVersion = object.objectVersion();
        mUpdateHandler.accept(ConfigurationUpdate.of(load.get()));
    }

    private void onFailure(PlatformError error) {
        sLogger.debug(
                "CONFIG  Could not read the configuration from the platform: {}", error.message());
        mBackoff.recordFailure(mTimeSource.monotonicNanos());
    }
}
