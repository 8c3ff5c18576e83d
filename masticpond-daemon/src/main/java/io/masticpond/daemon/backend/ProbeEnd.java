package io.masticpond.daemon.backend;

/** How one health or load call to a backend server ended. */
sealed interface ProbeEnd {

    /** The number of requests that stands for "not told". */
    int UNREPORTED = -1;

    /** What a backend server says about its health. */
    enum Status {
        HEALTHY,
        UNHEALTHY,
        LEAVING
    }

    /** An answer to a health call, with the signs that its head carries. */
    record Health(Status status, int inFlight, boolean closes) implements ProbeEnd {}

    /** An answer to a load call. */
    record Load(int inFlight) implements ProbeEnd {}

    /** The server takes no connections: no process listens there. */
    record Refused() implements ProbeEnd {}

    /** No proper answer came in time. */
    record Failed() implements ProbeEnd {}
}
