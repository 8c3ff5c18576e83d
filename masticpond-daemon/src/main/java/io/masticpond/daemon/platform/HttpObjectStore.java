package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.platform.TransportResult.Answered;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * {@link ObjectStore} implementation over HTTP, as specified in docs/PLATFORM_API.md.
 *
 * <p>Reads are retried with a jittered backoff; a write is sent once. Every attempt counts against
 * the budget of calls per second, and a failing address is not called for some time. A write fails
 * with {@link PlatformError.Away} only if it had no effect: no byte of it was sent, or the platform
 * answered 429 or 503, which guarantee that.
 *
 * @since 0.1
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

    /** Maximum size of a value, in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    private static final int NAMES_PER_PAGE = 1_000;
    private static final int MAXIMUM_NAMES = 100_000;
    private static final String IF_MATCH_HEADER = "If-Match";

    private final CallRunner mRunner;
    private final PlatformClientSettings mSettings;
    private final TimeSource mTimeSource;

    /**
     * Creates the store and starts the event loop that makes the calls.
     *
     * @param settings the settings of the client
     * @param timeSource the clock of timeouts, call budget and circuit breakers
     * @param random the random source of the jitter, which must not be shared
     * @param observer is notified of attempts and results
     */
    public HttpObjectStore(
            PlatformClientSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            PlatformObserver observer) {
        mSettings = settings;
        mTimeSource = timeSource;
        mRunner = new CallRunner(settings, timeSource, random, observer);
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(ObjectKey key) {
        return run(
                PlatformCallKind.READ,
                Duration.ZERO,
                address -> new Request.Builder().url(url(address, key).build()),
                answer -> AnswerReader.read(key, answer));
    }

    @Override
    public CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value) {
        Assert.notNegative(expectedVersion, "An expected version");
        if (value.length > MAXIMUM_VALUE_BYTES) {
            String message = "A value of " + value.length + " bytes is more than a megabyte.";
            return CompletableFuture.completedFuture(
                    Either.left(new PlatformError.Rejected(message)));
        }
        return run(
                PlatformCallKind.WRITE,
                Duration.ZERO,
                address ->
                        conditionalRequest(address, key, expectedVersion)
                                .put(RequestBody.create(value)),
                answer -> AnswerReader.write(key, expectedVersion, answer));
    }

    @Override
    public CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout) {
        return run(
                PlatformCallKind.WATCH,
                timeout,
                address ->
                        new Request.Builder()
                                .url(
                                        url(address, key)
                                                .addQueryParameter("watch", "true")
                                                .addQueryParameter(
                                                        "after", Long.toString(afterVersion))
                                                .addQueryParameter(
                                                        "timeoutMillis",
                                                        Long.toString(timeout.toMillis()))
                                                .build()),
                answer -> AnswerReader.watch(key, afterVersion, answer));
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix) {
        return list(kind, prefix, List.of());
    }

    @Override
    public CompletableFuture<Either<PlatformError, Void>> delete(
            ObjectKey key, long expectedVersion) {
        Assert.positive(expectedVersion, "The expected version of an object to delete");
        return run(
                PlatformCallKind.DELETE,
                Duration.ZERO,
                address -> conditionalRequest(address, key, expectedVersion).delete(),
                answer -> AnswerReader.delete(key, expectedVersion, answer));
    }

    @Override
    public CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances() {
        return run(
                PlatformCallKind.INSTANCES,
                Duration.ZERO,
                address ->
                        new Request.Builder()
                                .url(base(address).addPathSegment("instances").build()),
                AnswerReader::instances);
    }

    /** Fails the open calls and stops the event loop. */
    @Override
    public void close() {
        mRunner.close();
    }

    private CompletableFuture<Either<PlatformError, List<String>>> list(
            ObjectKind kind, String prefix, List<String> previousNames) {
        String after = previousNames.isEmpty() ? "" : previousNames.get(previousNames.size() - 1);
        return run(
                        PlatformCallKind.LIST,
                        Duration.ZERO,
                        address -> page(address, kind, prefix, after),
                        answer -> AnswerReader.names(prefix, after, answer))
                .thenCompose(page -> nextPage(kind, prefix, previousNames, page));
    }

    private CompletableFuture<Either<PlatformError, List<String>>> nextPage(
            ObjectKind kind,
            String prefix,
            List<String> previousNames,
            Either<PlatformError, List<String>> page) {
        if (page.isLeft()) {
            return CompletableFuture.completedFuture(page);
        }
        List<String> names = new ArrayList<>(previousNames);
        names.addAll(page.get());
        if (page.get().size() < NAMES_PER_PAGE) {
            return CompletableFuture.completedFuture(Either.right(names));
        }
        if (names.size() >= MAXIMUM_NAMES) {
            String message = "There are more than " + MAXIMUM_NAMES + " names of " + kind + ".";
            return CompletableFuture.completedFuture(
                    Either.left(new PlatformError.Rejected(message)));
        }
        return list(kind, prefix, names);
    }

    private <T> CompletableFuture<Either<PlatformError, T>> run(
            PlatformCallKind kind,
            Duration additionalTimeout,
            Function<String, Request.Builder> request,
            Function<Answered, Either<PlatformError, T>> reader) {
        Duration timeout = mSettings.callTimeout().plus(additionalTimeout);
        return mRunner.run(
                new PendingCall<>(kind, timeout, request, reader, mTimeSource.monotonicNanos()));
    }

    private static Request.Builder conditionalRequest(
            String address, ObjectKey key, long expectedVersion) {
        Request.Builder request = new Request.Builder().url(url(address, key).build());
        return expectedVersion == ABSENT
                ? request.header("If-None-Match", "*")
                : request.header(IF_MATCH_HEADER, "\"" + expectedVersion + "\"");
    }

    private static Request.Builder page(
            String address, ObjectKind kind, String prefix, String after) {
        return new Request.Builder()
                .url(
                        base(address)
                                .addPathSegment("objects")
                                .addPathSegment(kind.path())
                                .addQueryParameter("prefix", prefix)
                                .addQueryParameter("after", after)
                                .build());
    }

    private static HttpUrl.Builder url(String address, ObjectKey key) {
        return base(address)
                .addPathSegment("objects")
                .addPathSegment(key.kind().path())
                .addPathSegment(key.name());
    }

    private static HttpUrl.Builder base(String address) {
        return HttpUrl.get("http://" + address).newBuilder().addPathSegment("v1");
    }
}
