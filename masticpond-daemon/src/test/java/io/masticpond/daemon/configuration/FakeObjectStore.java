package io.masticpond.daemon.configuration;

import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * In-memory stand-in for the platform, which can be made unavailable and can lose the answers to
 * writes.
 */
final class FakeObjectStore implements ObjectStore {

    /** The maximum size of a value that the platform accepts, in bytes. */
    static final int MAXIMUM_BYTES = 1_000_000;

    private final Map<String, StoredObject> mObjects = new TreeMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private Predicate<ObjectKey> mLostAnswers = key -> false;
    private boolean mUnavailable;
    private long mWrites;

    synchronized void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
        if (unavailable) {
            mWatches.forEach(watch -> watch.mFuture.complete(unavailableError()));
            mWatches.clear();
        }
    }

    /** Makes the next write to a matching key take effect while its answer is lost. */
    synchronized void loseAnswersOf(Predicate<ObjectKey> condition) {
        mLostAnswers = condition;
    }

    synchronized long writes() {
        return mWrites;
    }

    synchronized byte[] valueOf(ObjectKey key) {
        return mObjects.get(key.toString()).value();
    }

    /** Restores an old value under a new version, as the restore of a backup does. */
    synchronized void replace(ObjectKey key, byte[] value) {
        long version = mObjects.get(key.toString()).version() + 1;
        mObjects.put(key.toString(), new StoredObject(key, version, value));
        wakeWatches(mObjects.get(key.toString()));
    }

    synchronized List<String> names(ObjectKind kind) {
        return mObjects.values().stream()
                .map(StoredObject::key)
                .filter(key -> key.kind() == kind)
                .map(ObjectKey::name)
                .toList();
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(
            ObjectKey key) {
        return mUnavailable ? done(unavailableError()) : done(Either.right(find(key)));
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value) {
        if (mUnavailable) {
            return done(unavailableError());
        }
        if (value.length > MAXIMUM_BYTES) {
            return done(Either.left(new PlatformError.Rejected("The value is too large.")));
        }
        Optional<StoredObject> current = find(key);
        if (expectedVersion != current.map(StoredObject::version).orElse(ABSENT)) {
            return done(Either.left(new PlatformError.Conflict(current)));
        }
        mWrites++;
        StoredObject written = new StoredObject(key, expectedVersion + 1, value);
        mObjects.put(key.toString(), written);
        wakeWatches(written);
        if (mLostAnswers.test(key)) {
            mLostAnswers = each -> false;
            return done(Either.left(new PlatformError.Uncertain("The answer was lost.")));
        }
        return done(Either.right(written.version()));
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout) {
        Optional<StoredObject> current = find(key);
        if (mUnavailable || current.filter(object -> object.version() > afterVersion).isPresent()) {
            return read(key);
        }
        Watch watch = new Watch(key);
        mWatches.add(watch);
        return watch.mFuture.completeOnTimeout(
                Either.right(Optional.empty()), timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix) {
        return mUnavailable
                ? done(unavailableError())
                : done(
                        Either.right(
                                names(kind).stream()
                                        .filter(name -> name.startsWith(prefix))
                                        .toList()));
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, Void>> delete(
            ObjectKey key, long expectedVersion) {
        mObjects.remove(key.toString());
        return done(Either.right(null));
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances() {
        return done(Either.right(List.of()));
    }

    private Optional<StoredObject> find(ObjectKey key) {
        return Optional.ofNullable(mObjects.get(key.toString()));
    }

    private void wakeWatches(StoredObject written) {
        for (Watch watch : List.copyOf(mWatches)) {
            if (watch.mKey.equals(written.key())) {
                mWatches.remove(watch);
                watch.mFuture.complete(Either.right(Optional.of(written)));
            }
        }
    }

    private static <T> Either<PlatformError, T> unavailableError() {
        return Either.left(new PlatformError.Away("The platform is unavailable."));
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** A pending watch. */
    private static final class Watch {

        private final ObjectKey mKey;
        private final CompletableFuture<Either<PlatformError, Optional<StoredObject>>> mFuture =
                new CompletableFuture<>();

        Watch(ObjectKey key) {
            mKey = key;
        }
    }
}
