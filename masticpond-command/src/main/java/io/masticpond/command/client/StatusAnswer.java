package io.masticpond.command.client;

import java.util.List;

/**
 * Status of an instance, with its view of the other instances and of the capacity of services.
 *
 * @param instance the responding instance
 * @param incarnation the incarnation number, which is the start time in milliseconds since the
 *     epoch
 * @param zone the availability zone of the instance
 * @param state the phase of the planned shutdown
 * @param ready whether the instance accepts requests
 * @param reasons the reasons for which the instance is not ready
 * @param configurationVersion the version of the configuration in force at the instance
 * @param platformReachable whether the platform responded to the instance recently
 * @param requestsInFlight the number of callers' requests in progress at the instance
 * @param members all known instances, including the responding one
 * @param capacity the known capacity of services in each region
 * @since 0.1
 */
public record StatusAnswer(
        String instance,
        long incarnation,
        String zone,
        String state,
        boolean ready,
        List<String> reasons,
        long configurationVersion,
        boolean platformReachable,
        int requestsInFlight,
        List<Member> members,
        List<Capacity> capacity) {

    /** Replaces {@code null} lists with empty ones. */
    public StatusAnswer {
        reasons = OperatorClient.orEmpty(reasons);
        members = OperatorClient.orEmpty(members);
        capacity = OperatorClient.orEmpty(capacity);
    }

    /** State of an instance in the view of another instance. */
    public enum MemberState {
        /** Listed by the platform; nothing was received from it yet. */
        EXPECTED,
        /** A message was received from it recently. */
        LIVE,
        /** No message was received from it for some time. */
        SUSPECT,
        /** Shutting down as planned. */
        LEAVING,
        /** Considered terminated. */
        DEAD
    }

    /**
     * Instance in the view of the responding instance.
     *
     * @param instance the instance
     * @param incarnation the incarnation number
     * @param zone the availability zone of the instance
     * @param state the state of the instance
     * @param callerAddress the address of the caller interface
     * @param operatorAddress the address of the operator interface
     * @param configurationVersion the configuration version that the instance reported as in force
     */
    public record Member(
            String instance,
            long incarnation,
            String zone,
            MemberState state,
            String callerAddress,
            String operatorAddress,
            long configurationVersion) {}

    /**
     * Capacity of a service in a region.
     *
     * @param service the service
     * @param region the region
     * @param usableSlots the number of slots that are usable now
     * @param inFlight the number of requests at backend servers
     * @param waiting the number of requests that wait for a slot
     * @param expectedWaitMillis the expected wait of a new request in milliseconds, or -1 if
     *     unbounded
     * @param step the degradation step
     * @param admitter the instance that admits requests to the service, or an empty string
     */
    public record Capacity(
            String service,
            String region,
            int usableSlots,
            int inFlight,
            int waiting,
            long expectedWaitMillis,
            String step,
            String admitter) {}
}
