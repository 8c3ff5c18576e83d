package io.masticpond.daemon.backend;

/** How one health or load call to a backend server ended. */
sealed interface ProbeResult {

    /** The number of requests that stands for "not told". */
    int UNREPORTED = -1;

    /** What a backend server says about its health. */
    enum Status {
        HEALTHY,
        UNHEALTHY,
        LEAVING
    }

    /** An answer to a health call, with the signs that its head carries. */
    record Health(Status status, int inFlight, boolean closes) implements ProbeResult {}

    /** An answer to a load call. */
    record Load(int inFlight) implements ProbeResult {}

    /** The server takes no connections: no process listens there. */
    record Refused() implements ProbeResult {}

    /** No proper answer came in time. */
    record Failed() implements ProbeResult {}
}
