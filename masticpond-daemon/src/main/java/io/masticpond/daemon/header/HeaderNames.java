package io.masticpond.daemon.header;

import java.util.Locale;
import java.util.Set;

/**
 * Names of the HTTP header fields that the system exchanges with callers and backend servers.
 *
 * @since 0.1
 */
public final class HeaderNames {

    /** The id of the request, set in both directions. */
    public static final String REQUEST_ID = "Masticpond-Request-Id";

    /** The id of the once-only operation. */
    public static final String OPERATION_ID = "Masticpond-Operation-Id";

    /** The time remaining until the deadline, in milliseconds. */
    public static final String DEADLINE_MILLIS = "Masticpond-Deadline-Millis";

    /** Set to "true" on an answer to a request that the backend server shed without running it. */
    public static final String SHED = "Masticpond-Shed";

    /** Set to "true" on every answer of a backend server that is leaving. */
    public static final String LEAVING = "Masticpond-Leaving";

    /** On answers to callers, what is known about whether the request ran. */
    public static final String VERDICT = "Masticpond-Verdict";

    /** The operation key that a look-up returned. */
    public static final String OPERATION_KEY = "Masticpond-Operation-Key";

    /** The operation key that the caller chose. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Set to "true" on a request whose operation key the caller has not sent before. */
    public static final String FIRST_ATTEMPT = "Masticpond-First-Attempt";

    /** The configuration version in force. */
    public static final String CONFIGURATION_VERSION = "Masticpond-Configuration-Version";

    /** Prefix, in lower case, of the names of all header fields that the system defines. */
    private static final String PREFIX = "masticpond-";

    /**
     * Names, in lower case, of the connection-specific fields (RFC 9110, section 7.6.1), of the
     * fields that the HTTP client sets itself, and of the operation key that the caller chose.
     */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "host",
                    "expect",
                    "accept-encoding",
                    "idempotency-key");

    private HeaderNames() {}

    /**
     * Returns whether a header field is forwarded between callers and backend servers.
     *
     * @param name the name of the field, case-insensitive
     * @return {@code false} for connection-specific fields, fields that the HTTP client sets itself
     *     and fields that the system defines or evaluates
     */
    public static boolean isForwarded(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(lower) && !lower.startsWith(PREFIX);
    }
}
