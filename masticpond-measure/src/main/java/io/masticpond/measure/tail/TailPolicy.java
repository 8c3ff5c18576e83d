package io.masticpond.measure.tail;

/** Strategy interface for assigning requests to backend servers. */
@FunctionalInterface
interface TailPolicy {

    /**
     * Handles a request that leaves its client at the current virtual time.
     *
     * @param request the request
     */
    void arrive(int request);
}
