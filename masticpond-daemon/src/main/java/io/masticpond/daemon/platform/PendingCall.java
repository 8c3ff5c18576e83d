package io.masticpond.daemon.platform;

import io.masticpond.daemon.platform.TransportResult.Answered;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import okhttp3.Request;

/**
 * Call to the platform with all its attempts. Confined to the event loop of the {@link CallRunner}.
 */
final class PendingCall<T> {

    private final PlatformCallKind mKind;
    private final Duration mTimeout;
    private final Function<String, Request.Builder> mRequest;
    private final Function<Answered, Either<PlatformError, T>> mReader;
    private final CompletableFuture<Either<PlatformError, T>> mFuture = new CompletableFuture<>();
    private final long mStartNanos;
    private int mAttempts;
    private PlatformError mLastError;

    PendingCall(
            PlatformCallKind kind,
            Duration timeout,
            Function<String, Request.Builder> request,
            Function<Answered, Either<PlatformError, T>> reader,
            long startNanos) {
        mKind = kind;
        mTimeout = timeout;
        mRequest = request;
        mReader = reader;
        mStartNanos = startNanos;
    }

    PlatformCallKind kind() {
        return mKind;
    }

    Duration timeout() {
        return mTimeout;
    }

    CompletableFuture<Either<PlatformError, T>> future() {
        return mFuture;
    }

    long startNanos() {
        return mStartNanos;
    }

    int attempts() {
        return mAttempts;
    }

    void addAttempt() {
        mAttempts++;
    }

    Request.Builder request(String address) {
        return mRequest.apply(address);
    }

    Either<PlatformError, T> read(Answered answer) {
        return mReader.apply(answer);
    }

    void setLastError(PlatformError error) {
        mLastError = error;
    }

    /** Returns the error of the last attempt, or the given one if there was no attempt. */
    PlatformError lastErrorOr(PlatformError error) {
        return mLastError == null ? error : mLastError;
    }

    boolean complete(Either<PlatformError, T> result) {
        return mFuture.complete(result);
    }
}
