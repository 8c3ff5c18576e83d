package io.masticpond.testing.backend;

/**
 * Names of the headers between the system and backend servers.
 *
 * @since 0.1
 */
public final class BackendHeaders {

    /** Id of a request. */
    public static final String REQUEST_ID = "Masticpond-Request-Id";

    /** Id of an operation that must run at most once. */
    public static final String OPERATION_ID = "Masticpond-Operation-Id";

    /** Time in milliseconds until the response is of no more use. */
    public static final String DEADLINE = "Masticpond-Deadline-Millis";

    /** States on a 503 response that the request did not run. */
    public static final String SHED = "Masticpond-Shed";

    /** States on any response that the server is leaving. */
    public static final String LEAVING = "Masticpond-Leaving";

    static final long NANOS_PER_MILLI = 1_000_000;

    private BackendHeaders() {}
}
