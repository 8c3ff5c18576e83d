package io.masticpond.measure.drain;

/**
 * Outcome of the drain of one backend server.
 *
 * @param kind the way in which the server announced that it leaves
 * @param newWorkAfterMillis the time from the first signal to the last new request, in
 *     milliseconds; 0 if there was none
 * @param cutInFlight the number of requests in execution at the server when it stopped
 * @param requests the number of all requests that the server received
 */
record DrainOutcome(DrainKind kind, long newWorkAfterMillis, int cutInFlight, long requests) {}
