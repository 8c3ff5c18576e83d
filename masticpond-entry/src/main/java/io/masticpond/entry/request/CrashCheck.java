package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.RequestRecord;
import java.time.Duration;
import java.util.Optional;

/**
 * View of the {@link CrashGuard} for one request. The fingerprint of the request is computed when
 * it is first needed, which for most requests is never.
 */
final class CrashCheck {

    private static final String ENDS_SERVERS = "ends-servers";

    private final CrashGuard mGuard;
    private final IncomingRequest mRequest;
    private final RequestRecord mFacts;
    private Integer mChecksum;
    private RequestFingerprint mFingerprint;

    CrashCheck(CrashGuard guard, IncomingRequest request, RequestRecord facts) {
        mGuard = guard;
        mRequest = request;
        mFacts = facts;
    }

    /**
     * Returns the rejection of the request, empty if requests with its fingerprint are not
     * rejected.
     */
    Optional<Rejection> rejection() {
        long nanos = rejectedForNanos();
        return nanos > 0 ? Optional.of(rejection(nanos)) : Optional.empty();
    }

    /** Returns the rejection of this request, which other instances reported. */
    Rejection reportedRejection() {
        return rejection(rejectedForNanos());
    }

    private static Rejection rejection(long nanos) {
        return Rejection.unavailable(ENDS_SERVERS, Duration.ofNanos(nanos));
    }

    private long rejectedForNanos() {
        long nanos = isTracked() ? mGuard.rejectedForNanos(fingerprint()) : 0;
        if (nanos > 0) {
            mFacts.fingerprint(fingerprint());
        }
        return nanos;
    }

    /** Determines whether the request is suspected, so that it must not be retried. */
    boolean isSuspected() {
        return isTracked() && mGuard.isSuspected(fingerprint());
    }

    /** Records that a server answered the request. */
    void recordAnswer() {
        if (isTracked()) {
            mGuard.recordAnswer(fingerprint());
        }
    }

    /** Records that the request broke off at a server, which may have ended. */
    void recordBrokenOff(RegisteredServer server, long sentNanos, long nowNanos) {
        mFacts.fingerprint(fingerprint());
        mGuard.bodies().brokenOff(server, mRequest.body().readableBytes(), nowNanos);
        mGuard.recordBrokenOff(
                server, new ServerChecks.Request(fingerprint(), sentNanos, nowNanos));
    }

    /** Records that no connection to a server opened, so that the request was not sent. */
    void recordNotConnected(RegisteredServer server) {
        mGuard.recordConnectionFailed(server);
    }

    boolean isFor(RequestFingerprint request) {
        return request.checksum() == checksum() && request.equals(fingerprint());
    }

    /**
     * Determines whether the request may be tracked. For nearly all requests a comparison of
     * checksums shows that it is not.
     */
    private boolean isTracked() {
        return mGuard.isTrackingAny() && mGuard.mightContain(checksum());
    }

    private int checksum() {
        if (mChecksum == null) {
            mChecksum = mGuard.checksum(mRequest);
        }
        return mChecksum;
    }

    private RequestFingerprint fingerprint() {
        if (mFingerprint == null) {
            mFingerprint = mGuard.fingerprint(mRequest);
        }
        return mFingerprint;
    }
}
