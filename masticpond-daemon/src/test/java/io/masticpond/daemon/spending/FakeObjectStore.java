package io.masticpond.daemon.spending;

import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** In-memory object store that can lose answers and simulate outages. */
final class FakeObjectStore implements ObjectStore {

    final Map<String, StoredObject> mObjects = new ConcurrentSkipListMap<>();
    final AtomicInteger mAnswersToLose = new AtomicInteger();
    final AtomicInteger mLostAnswers = new AtomicInteger();
    volatile boolean mUnavailable;

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(ObjectKey key) {
        if (mUnavailable) {
            return unavailable();
        }
        return done(Optional.ofNullable(mObjects.get(key.toString())));
    }

    @Override
    public synchronized CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value) {
        if (mUnavailable) {
            return unavailable();
        }
        StoredObject current = mObjects.get(key.toString());
        long version = current == null ? ABSENT : current.version();
        if (version != expectedVersion) {
            PlatformError conflict = new PlatformError.Conflict(Optional.ofNullable(current));
            return CompletableFuture.completedFuture(Either.left(conflict));
        }
        mObjects.put(key.toString(), new StoredObject(key, version + 1, value));
        if (mAnswersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            mLostAnswers.incrementAndGet();
            PlatformError lost = new PlatformError.Uncertain("The answer was lost.");
            return CompletableFuture.completedFuture(Either.left(lost));
        }
        return done(version + 1);
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix) {
        return done(
                mObjects.values().stream()
                        .filter(each -> each.key().kind() == kind)
                        .map(each -> each.key().name())
                        .filter(name -> name.startsWith(prefix))
                        .toList());
    }

    @Override
    public CompletableFuture<Either<PlatformError, Void>> delete(
            ObjectKey key, long expectedVersion) {
        mObjects.remove(key.toString());
        return done(null);
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances() {
        throw new UnsupportedOperationException();
    }

    private static <T> CompletableFuture<Either<PlatformError, T>> done(T value) {
        return CompletableFuture.completedFuture(Either.right(value));
    }

    private static <T> CompletableFuture<Either<PlatformError, T>> unavailable() {
        PlatformError error = new PlatformError.Away("The platform is unavailable.");
        return CompletableFuture.completedFuture(Either.left(error));
    }
}
