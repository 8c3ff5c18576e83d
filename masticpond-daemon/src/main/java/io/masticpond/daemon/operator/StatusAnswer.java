package io.masticpond.daemon.operator;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Status of one instance: its own state, the other instances it knows, and the capacity of the
 * services.
 *
 * @param instance the instance that answers
 * @param incarnation the number of its incarnation
 * @param zone its availability zone
 * @param state "serving", "leaving", "drained" or "stopping"
 * @param ready whether it accepts requests
 * @param reasons the reasons why it is not ready, one sentence each
 * @param configurationVersion the version of the configuration in force at this instance
 * @param platformReachable whether the platform answered recently
 * @param requestsInFlight the number of callers' requests in flight
 * @param members all known instances, including this one
 * @param capacity the known capacity of the services in each region
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
        List<MemberEntry> members,
        List<CapacityEntry> capacity) {

    /** Copies the lists. */
    public StatusAnswer {
        reasons = List.copyOf(reasons);
        members = List.copyOf(members);
        capacity = List.copyOf(capacity);
    }

    /**
     * Creates a status with the state of this instance only, without members and capacity.
     *
     * @param incarnation the incarnation of this instance
     * @param zone its availability zone
     * @param state the state of its planned stop, in lower case
     * @param reasons the reasons why it is not ready; empty if it is
     * @param version the version of the configuration in force
     * @return the status
     */
    public static StatusAnswer of(
            Incarnation incarnation,
            ZoneId zone,
            String state,
            List<String> reasons,
            ConfigurationVersion version) {
        return new StatusAnswer(
                incarnation.instance().value(),
                incarnation.number(),
                zone.value(),
                state,
                reasons.isEmpty(),
                reasons,
                version.number(),
                true,
                0,
                List.of(),
                List.of());
    }

    /**
     * Status of a member, as known to this instance.
     *
     * @param instance the instance
     * @param incarnation the number of its incarnation
     * @param zone its availability zone
     * @param state the state, a name of {@link io.masticpond.core.membership.MemberState}
     * @param callerAddress the address for callers
     * @param operatorAddress the address for operators
     * @param configurationVersion the version of the configuration that it reported in force
     * @since 0.1
     */
    public record MemberEntry(
            String instance,
            long incarnation,
            String zone,
            String state,
            String callerAddress,
            String operatorAddress,
            long configurationVersion) {

        /**
         * Creates an entry.
         *
         * @param member the instance
         * @return the entry
         */
        public static MemberEntry of(Member member) {
            return new MemberEntry(
                    member.id().value(),
                    member.incarnation().number(),
                    member.zone().value(),
                    member.state().name(),
                    member.callerAddress(),
                    member.operatorAddress(),
                    member.configuration().number());
        }
    }

    /**
     * Capacity of a service in a region.
     *
     * @param service the service
     * @param region the region
     * @param usableSlots the number of slots that may be used now
     * @param inFlight the number of requests at backend servers
     * @param waiting the number of requests that wait for a slot
     * @param expectedWaitMillis the expected wait of a new request, in milliseconds; -1 if the wait
     *     would not end
     * @param step the degradation step, a name of {@link
     *     io.masticpond.core.admission.DegradationStep}
     * @param admitter the instance that admits to the service, or "" if unknown
     * @since 0.1
     */
    public record CapacityEntry(
            String service,
            String region,
            int usableSlots,
            int inFlight,
            int waiting,
            long expectedWaitMillis,
            String step,
            String admitter) {

        /**
         * Creates an entry.
         *
         * @param service the service
         * @param region the region
         * @param headroom the headroom of the service in the region
         * @param admitter the instance that admits to the service, or "" if unknown
         * @return the entry
         */
        public static CapacityEntry of(
                ServiceId service, RegionId region, Headroom headroom, String admitter) {
            long wait = headroom.expectedWaitNanos();
            return new CapacityEntry(
                    service.value(),
                    region.value(),
                    headroom.usableSlots(),
                    headroom.inFlight(),
                    headroom.waiting(),
                    wait == Long.MAX_VALUE ? -1 : TimeUnit.NANOSECONDS.toMillis(wait),
                    headroom.step().name(),
                    admitter);
        }
    }
}
