package io.masticpond.measure.control;

import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * {@link ObjectStore} that returns a list of instances and reports the platform as unavailable for
 * every other call.
 */
final class ListOnlyStore implements ObjectStore {

    private volatile List<ListedInstance> mList = List.of();

    void setInstances(List<ListedInstance> list) {
        mList = List.copyOf(list);
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances() {
        return CompletableFuture.completedFuture(Either.right(mList));
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(ObjectKey key) {
        return unavailable();
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value) {
        return unavailable();
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout) {
        return unavailable();
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix) {
        return unavailable();
    }

    @Override
    public CompletableFuture<Either<PlatformError, Void>> delete(
            ObjectKey key, long expectedVersion) {
        return unavailable();
    }

    private static <T> CompletableFuture<Either<PlatformError, T>> unavailable() {
        return CompletableFuture.completedFuture(
                Either.left(new PlatformError.Away("The platform is unavailable.")));
    }
}
