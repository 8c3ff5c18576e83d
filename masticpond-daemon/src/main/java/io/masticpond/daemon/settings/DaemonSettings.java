package io.masticpond.daemon.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;

/**
 * Validated settings of a daemon; see docs/SETTINGS.md.
 *
 * @param instance the identity of the instance
 * @param caller the interface for callers
 * @param operator the interface for operators
 * @param link the links to other instances
 * @param platform the platform's object API
 * @param steering the request path
 * @param log the log
 * @since 0.1
 */
public record DaemonSettings(
        InstanceSettings instance,
        CallerSettings caller,
        OperatorSettings operator,
        LinkSettings link,
        PlatformSettings platform,
        SteeringSettings steering,
        LogSettings log) {

    /** Replaces omitted sections by their defaults. */
    public DaemonSettings {
        steering = steering == null ? new SteeringSettings(null, null) : steering;
        log = log == null ? new LogSettings(null, null) : log;
    }

    private static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /**
     * Identity of the instance.
     *
     * @param id the instance id
     * @param zone its availability zone
     */
    public record InstanceSettings(InstanceId id, ZoneId zone) {

        @JsonCreator
        static InstanceSettings of(
                @JsonProperty("id") String id, @JsonProperty("zone") String zone) {
            return new InstanceSettings(new InstanceId(id), new ZoneId(zone));
        }
    }

    /**
     * Settings of the interface for callers.
     *
     * @param address the address to listen on, as "ip:port"
     * @param maximumBodyBytes the maximum size of a request body, in bytes
     * @param maximumHeaderBytes the maximum size of a request header, in bytes
     * @param maximumConnections the maximum number of connections of callers
     * @param idleMillis the maximum inactivity of a caller within a request, in milliseconds
     * @param maximumRequests the maximum number of requests in flight
     * @param lookupCacheMillis the time for which a look-up answer may be cached, in milliseconds
     */
    public record CallerSettings(
            String address,
            Integer maximumBodyBytes,
            Integer maximumHeaderBytes,
            Integer maximumConnections,
            Integer idleMillis,
            Integer maximumRequests,
            Integer lookupCacheMillis) {

        private static final int DEFAULT_MAXIMUM_BODY_BYTES = 1 << 20;
        private static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 << 10;
        private static final int DEFAULT_MAXIMUM_CONNECTIONS = 2_000;
        private static final int DEFAULT_IDLE_MILLIS = 10_000;
        private static final int DEFAULT_MAXIMUM_REQUESTS = 4_000;
        private static final int DEFAULT_LOOKUP_CACHE_MILLIS = 2_000;

        /** Replaces omitted values by their defaults. */
        public CallerSettings {
            maximumBodyBytes = orDefault(maximumBodyBytes, DEFAULT_MAXIMUM_BODY_BYTES);
            maximumHeaderBytes = orDefault(maximumHeaderBytes, DEFAULT_MAXIMUM_HEADER_BYTES);
            maximumConnections = orDefault(maximumConnections, DEFAULT_MAXIMUM_CONNECTIONS);
            idleMillis = orDefault(idleMillis, DEFAULT_IDLE_MILLIS);
            maximumRequests = orDefault(maximumRequests, DEFAULT_MAXIMUM_REQUESTS);
            lookupCacheMillis = orDefault(lookupCacheMillis, DEFAULT_LOOKUP_CACHE_MILLIS);
        }
    }

    /**
     * Settings of the interface for operators.
     *
     * @param address the address to listen on, as "ip:port"
     * @param tokens the tokens of operators
     */
    public record OperatorSettings(String address, List<TokenSettings> tokens) {}

    /**
     * Token of an operator, whose string representation omits the secret.
     *
     * @param name the name of its holder
     * @param value the secret
     */
    public record TokenSettings(String name, String value) {
        @Override
        public String toString() {
            return "TokenSettings[" + name + "]";
        }
    }

    /**
     * Settings of the links to other instances.
     *
     * @param address the address to listen on, as "ip:port"
     * @param seeds the link addresses of instances to query while the platform is unavailable
     * @param keys the shared keys; the first is used, all are accepted
     */
    public record LinkSettings(String address, List<String> seeds, List<KeySettings> keys) {

        /** Replaces omitted values by their defaults. */
        public LinkSettings {
            seeds = seeds == null ? List.of() : List.copyOf(seeds);
        }
    }

    /**
     * Key shared by the instances, whose string representation omits the secret.
     *
     * @param id the id of the key
     * @param value the secret
     */
    public record KeySettings(String id, String value) {
        @Override
        public String toString() {
            return "KeySettings[" + id + "]";
        }
    }

    /**
     * Settings of the platform's object API.
     *
     * @param addresses the addresses of the API, each as "ip:port"
     * @param callsPerSecond the maximum calls of this process per second
     */
    public record PlatformSettings(List<String> addresses, Integer callsPerSecond) {

        private static final int DEFAULT_CALLS_PER_SECOND = 20;

        /** Replaces omitted values by their defaults. */
        public PlatformSettings {
            callsPerSecond = orDefault(callsPerSecond, DEFAULT_CALLS_PER_SECOND);
        }
    }

    /**
     * Settings of the request path.
     *
     * @param ringCapacity the maximum number of tasks that wait for the steering thread
     * @param drainMillis the maximum duration of a planned stop, in milliseconds
     */
    public record SteeringSettings(Integer ringCapacity, Integer drainMillis) {

        private static final int DEFAULT_RING_CAPACITY = 16_384;
        private static final int DEFAULT_DRAIN_MILLIS = 30_000;

        /** Replaces omitted values by their defaults. */
        public SteeringSettings {
            ringCapacity = orDefault(ringCapacity, DEFAULT_RING_CAPACITY);
            drainMillis = orDefault(drainMillis, DEFAULT_DRAIN_MILLIS);
        }
    }

    /**
     * Settings of the log.
     *
     * @param format "text" or "json"
     * @param level "error", "warn", "info", "debug" or "trace"
     */
    public record LogSettings(String format, String level) {

        /** Replaces omitted values by their defaults. */
        public LogSettings {
            format = orDefault(format, "text");
            level = orDefault(level, "info");
        }
    }
}
