package io.masticpond.daemon.platform;

import java.util.Optional;

/** Result of one attempt to call the platform. */
sealed interface TransportResult {

    /** A complete answer was received. */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(
            int status,
            Optional<String> entityTag,
            Optional<String> contentType,
            Optional<String> retryAfter,
            byte[] body)
            implements TransportResult {}

    /** No byte of the call was sent. */
    record NotSent(String reason) implements TransportResult {}

    /** The call was sent, at least in part, and no complete answer was received. */
    record Broken(String reason) implements TransportResult {}
}
