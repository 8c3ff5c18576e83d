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
 * Follows the head at the platform: by a read when asked, by a watch when this instance watches.
 *
 * <p>Its owner is the configuration's duty, which calls it and which it calls back.
 */
final class PlatformFollower {

    private static final Logger sLogger = LoggerFactory.getLogger(PlatformFollower.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(25);

    private final ChainStore mChain;
    private final ConfigurationReplica mReplica;
    private final Consumer<ConfigurationUpdate> mTake;
    private final EventLoopExecutor mExecutor;
    private final TimeSource mTimeSource;
    private final Backoff mBackoff;
    private final CallLimit mCall = new CallLimit(WATCH_TIMEOUT.multipliedBy(2));
    private long mObjectVersion = ObjectStore.ABSENT;
    private boolean mReached;

    PlatformFollower(
            ChainStore chain,
            ConfigurationReplica replica,
            Consumer<ConfigurationUpdate> take,
            EventLoopExecutor executor,
            TimeSource timeSource,
            DoubleSupplier random) {
        mChain = chain;
        mReplica = replica;
        mTake = take;
        mExecutor = executor;
        mTimeSource = timeSource;
        mBackoff = new Backoff(random);
    }

    /** Tells whether the platform was read at least once. */
    boolean wasReached() {
        return mReached;
    }

    /** Reads the head unless a call is running or the platform is away. */
    void read() {
        if (mayCall()) {
            mCall.started(mTimeSource.monotonicNanos());
            mExecutor.whenDone(mChain.readHead(), read -> onHead(read.map(Optional::of)));
        }
    }

    /** Waits for the next head unless a call is running or the platform is away. */
    void watch() {
        if (mayCall()) {
            mCall.started(mTimeSource.monotonicNanos());
            mExecutor.whenDone(mChain.watchHead(mObjectVersion, WATCH_TIMEOUT), this::onHead);
        }
    }

    private boolean mayCall() {
        long now = mTimeSource.monotonicNanos();
        return !mCall.isRunning(now) && !mBackoff.isPausing(now);
    }

    private void onHead(Either<PlatformError, Optional<HeadObject>> read) {
        mCall.ended();
        if (read.isLeft()) {
            failed(read.getLeft());
            return;
        }
        mReached = true;
        mBackoff.succeeded();
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
            mTake.accept(ConfigurationUpdate.of(head.since(current.version()).orElseThrow()));
            return;
        }
        mCall.started(mTimeSource.monotonicNanos());
        mExecutor.whenDone(mChain.load(head, current), load -> onLoad(object, load));
    }

    private void onLoad(HeadObject object, Either<PlatformError, Configuration> load) {
        mCall.ended();
        if (load.isLeft()) {
            failed(load.getLeft());
            return;
        }
        mObjectVersion = object.objectVersion();
        mTake.accept(ConfigurationUpdate.of(load.get()));
    }

    private void failed(PlatformError error) {
        sLogger.debug("CONFIG  The platform gave no configuration: {}", error.message());
        mBackoff.failed(mTimeSource.monotonicNanos());
    }
}
