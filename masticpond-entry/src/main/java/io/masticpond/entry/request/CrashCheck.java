package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.RequestRecord;
import java.time.Duration;
import java.util.Optional;

/**
 * What one request asks of the {@link CrashGuard}. Its fingerprint is made when it is first needed,
 * which for most requests is never.
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

    /** Says that requests like this one are rejected, if they are. */
    Optional<Rejection> rejection() {
        long nanos = rejectedForNanos();
        return nanos > 0 ? Optional.of(rejection(nanos)) : Optional.empty();
    }

    /** Says that this one is rejected, of which others told. */
    Rejection reportedRejection() {
        return rejection(rejectedForNanos());
    }

    private static Rejection rejection(long nanos) {
        return Rejection.unavailable(ENDS_SERVERS, Duration.ofNanos(nanos));
    }

    private long rejectedForNanos() {
        long nanos = isFollowed() ? mGuard.rejectedForNanos(fingerprint()) : 0;
        if (nanos > 0) {
            mFacts.fingerprint(fingerprint());
        }
        return nanos;
    }

    /** Tells whether this one is better not sent a second time. */
    boolean isSuspected() {
        return isFollowed() && mGuard.isSuspected(fingerprint());
    }

    /** Takes that a server answered this one. */
    void answered() {
        if (isFollowed()) {
            mGuard.answered(fingerprint());
        }
    }

    /** Takes that this one broke off at a server, which may have ended. */
    void brokenOff(RegisteredServer server, long sentNanos, long nowNanos) {
        mFacts.fingerprint(fingerprint());
        mGuard.brokenOff(server, new BrokenOffRequests.Request(fingerprint(), sentNanos, nowNanos));
    }

    boolean isFor(RequestFingerprint request) {
        return request.checksum() == checksum() && request.equals(fingerprint());
    }

    /** Tells whether this one may be followed; for nearly all requests a comparison tells not. */
    private boolean isFollowed() {
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
