package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Plan;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Store of plans at the platform, where every instance can read them. */
final class PlanStore {

    private static final String ID_PREFIX = "plan-";

    private final ObjectStore mStore;
    private final MultipartObjects mParts;
    private final ConfigurationCodec mCodec;
    private final EventLoopExecutor mExecutor;

    PlanStore(ObjectStore store, ConfigurationCodec codec, EventLoopExecutor executor) {
        mStore = Assert.notNull(store, "An object store");
        mCodec = Assert.notNull(codec, "A codec");
        mExecutor = Assert.notNull(executor, "An executor");
        mParts = new MultipartObjects(store, executor);
    }

    /** Returns a new plan id. Ids sort by time, so that old plans can be found by their ids. */
    static PlanId newId(Instant now, int random) {
        return new PlanId(String.format("%s%013d-%08x", ID_PREFIX, now.toEpochMilli(), random));
    }

    /**
     * Writes a plan. A lost answer counts as a failure, since the plan is not returned to the
     * operator then.
     */
    CompletableFuture<Either<PlatformError, Plan>> write(Plan plan) {
        byte[] document = mCodec.encode(new StoredPlan(Optional.of(plan), List.of()));
        if (document.length <= MultipartObjects.PART_BYTES) {
            return writeObject(plan, document);
        }
        return mParts.write(ObjectKind.PLAN, plan.id().value() + "-part", document)
                .thenComposeAsync(
                        parts ->
                                parts.isLeft()
                                        ? CompletableFuture.completedFuture(
                                                Either.left(parts.getLeft()))
                                        : writeObject(
                                                plan,
                                                mCodec.encode(
                                                        new StoredPlan(
                                                                Optional.empty(), parts.get()))),
                        mExecutor);
    }

    CompletableFuture<Either<PlatformError, Optional<Plan>>> read(PlanId id) {
        return mStore.read(new ObjectKey(ObjectKind.PLAN, id.value()))
                .thenComposeAsync(
                        read -> {
                            if (read.isLeft() || read.get().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        read.map(object -> Optional.empty()));
                            }
                            return load(read.get().get());
                        },
                        mExecutor);
    }

    /** Deletes the plans that were created before a time; the next call retries what failed. */
    void deleteBefore(Instant time) {
        mParts.deleteBefore(
                ObjectKind.PLAN,
                ID_PREFIX,
                String.format("%s%013d", ID_PREFIX, Math.max(0, time.toEpochMilli())));
    }

    private CompletableFuture<Either<PlatformError, Plan>> writeObject(Plan plan, byte[] document) {
        return mStore.write(
                        new ObjectKey(ObjectKind.PLAN, plan.id().value()),
                        ObjectStore.ABSENT,
                        document)
                .thenApply(written -> written.map(version -> plan));
    }

    private CompletableFuture<Either<PlatformError, Optional<Plan>>> load(StoredObject object) {
        Either<PlatformError, StoredPlan> stored = decode(object.value());
        if (stored.isRight() && !stored.get().parts().isEmpty()) {
            return mParts.read(ObjectKind.PLAN, stored.get().parts())
                    .thenApplyAsync(
                            read -> read.flatMap(this::decode).map(StoredPlan::plan), mExecutor);
        }
        return CompletableFuture.completedFuture(stored.map(StoredPlan::plan));
    }

    private Either<PlatformError, StoredPlan> decode(byte[] document) {
        return mCodec.decode(document, StoredPlan.class)
                .mapLeft(fault -> new PlatformError.Rejected("A plan: " + fault.message()));
    }
}
