package io.masticpond.command.client;

import java.util.List;

/**
 * Response to a lookup.
 *
 * @param service the service
 * @param instances the instances to use, in order of preference
 * @param cacheMillis the time for which the response may be cached, in milliseconds
 * @param configurationVersion the version of the configuration that the response is based on
 * @since 0.1
 */
public record LookupAnswer(
        String service, List<Instance> instances, long cacheMillis, long configurationVersion) {

    /** Replaces a {@code null} list with an empty one. */
    public LookupAnswer {
        instances = OperatorClient.orEmpty(instances);
    }

    /**
     * Instance that a caller may use.
     *
     * @param id the id of the instance
     * @param zone the availability zone of the instance
     * @param address the address of the caller interface
     */
    public record Instance(String id, String zone, String address) {}
}
