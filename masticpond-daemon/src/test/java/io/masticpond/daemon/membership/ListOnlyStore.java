package io.masticpond.daemon.membership;

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

/** Stand-in for a platform that only returns its list of instances, or is unavailable. */
final class ListOnlyStore implements ObjectStore {

    private volatile Optional<List<ListedInstance>> mInstances = Optional.empty();

    void setInstances(List<ListedInstance> instances) {
        mInstances = Optional.of(List.copyOf(instances));
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances() {
        return CompletableFuture.completedFuture(
                mInstances
                        .<Either<PlatformError, List<ListedInstance>>>map(Either::right)
                        .orElseGet(ListOnlyStore::unavailable));
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(ObjectKey key) {
        return CompletableFuture.completedFuture(unavailable());
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value) {
        return CompletableFuture.completedFuture(unavailable());
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout) {
        return CompletableFuture.completedFuture(unavailable());
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix) {
        return CompletableFuture.completedFuture(unavailable());
    }

    @Override
    public CompletableFuture<Either<PlatformError, Void>> delete(
            ObjectKey key, long expectedVersion) {
        return CompletableFuture.completedFuture(unavailable());
    }

    private static <T> Either<PlatformError, T> unavailable() {
        return Either.left(new PlatformError.Away("The platform is unavailable."));
    }
}
