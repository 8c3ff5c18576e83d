package io.masticpond.daemon.platform;

import java.util.Optional;

/** How one attempt to call the platform ended. */
sealed interface TransportResult {

    /** A whole answer came. */
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

    /** The call was sent, at least in part, and no whole answer came. */
    record Broken(String reason) implements TransportResult {}
}
