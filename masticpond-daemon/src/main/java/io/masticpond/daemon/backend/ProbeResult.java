package io.masticpond.daemon.backend;

/** Result of a health or load probe of a backend server. */
sealed interface ProbeResult {

    /** The number of requests that stands for "not reported". */
    int UNREPORTED = -1;

    /** The health that a backend server reports. */
    enum Status {
        HEALTHY,
        UNHEALTHY,
        LEAVING
    }

    /** A response to a health probe, with the signals in its headers. */
    record Health(Status status, int inFlight, boolean closes) implements ProbeResult {}

    /** A response to a load probe. */
    record Load(int inFlight) implements ProbeResult {}

    /** The server refused the connection: no process is listening at its address. */
    record Refused() implements ProbeResult {}

    /** No valid response arrived in time. */
    record Failed() implements ProbeResult {}
}
