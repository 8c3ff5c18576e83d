package io.masticpond.daemon.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;

/**
 * The settings of a daemon, after their file was checked; see docs/SETTINGS.md.
 *
 * @param instance who the process is
 * @param caller the interface towards callers
 * @param operator the interface towards operators
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

    /** Fills in the parts that may be left out. */
    public DaemonSettings {
        steering = steering == null ? new SteeringSettings(null, null) : steering;
        log = log == null ? new LogSettings(null, null) : log;
    }

    private static <T> T orDefault(T value, T defaultValue) {
        return value == null ? defaultValue : value;
    }

    /**
     * Who the process is.
     *
     * @param id the instance
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
     * The interface towards callers.
     *
     * @param address where it listens, as "ip:port"
     * @param maximumBodyBytes the largest body of a request, in bytes
     * @param maximumHeaderBytes the largest header of a request, in bytes
     * @param maximumConnections how many connections callers may hold
     * @param idleMillis how long a caller may be silent within a request, in milliseconds
     * @param maximumRequests how many requests may be in flight
     * @param lookupCacheMillis how long a look-up answer may be cached, in milliseconds
     */
    public record CallerSettings(
            String address,
            Integer maximumBodyBytes,
            Integer maximumHeaderBytes,
            Integer maximumConnections,
            Integer idleMillis,
            Integer maximumRequests,
            Integer lookupCacheMillis) {

        private static final int BODY_BYTES = 1 << 20;
        private static final int HEADER_BYTES = 16 << 10;
        private static final int CONNECTIONS = 2_000;
        private static final int IDLE_MILLIS = 10_000;
        private static final int REQUESTS = 4_000;
        private static final int LOOKUP_CACHE_MILLIS = 2_000;

        /** Fills in what may be left out. */
        public CallerSettings {
            maximumBodyBytes = orDefault(maximumBodyBytes, BODY_BYTES);
            maximumHeaderBytes = orDefault(maximumHeaderBytes, HEADER_BYTES);
            maximumConnections = orDefault(maximumConnections, CONNECTIONS);
            idleMillis = orDefault(idleMillis, IDLE_MILLIS);
            maximumRequests = orDefault(maximumRequests, REQUESTS);
            lookupCacheMillis = orDefault(lookupCacheMillis, LOOKUP_CACHE_MILLIS);
        }
    }

    /**
     * The interface towards operators.
     *
     * @param address where it listens, as "ip:port"
     * @param tokens the tokens that operators show
     */
    public record OperatorSettings(String address, List<TokenSettings> tokens) {}

    /**
     * A token of an operator; its text form hides the value.
     *
     * @param name who holds it
     * @param value the secret
     */
    public record TokenSettings(String name, String value) {
        @Override
        public String toString() {
            return "TokenSettings[" + name + "]";
        }
    }

    /**
     * The links to other instances.
     *
     * @param address where it listens, as "ip:port"
     * @param seeds link addresses of instances to ask when the platform is away
     * @param keys the shared keys; the first is used, all are accepted
     */
    public record LinkSettings(String address, List<String> seeds, List<KeySettings> keys) {

        /** Fills in what may be left out. */
        public LinkSettings {
            seeds = seeds == null ? List.of() : List.copyOf(seeds);
        }
    }

    /**
     * A key that instances share; its text form hides the value.
     *
     * @param id the name of the key
     * @param value the secret
     */
    public record KeySettings(String id, String value) {
        @Override
        public String toString() {
            return "KeySettings[" + id + "]";
        }
    }

    /**
     * The platform's object API.
     *
     * @param addresses where it listens, each as "ip:port"
     * @param callsPerSecond how many calls this process may make each second
     */
    public record PlatformSettings(List<String> addresses, Integer callsPerSecond) {

        private static final int CALLS_PER_SECOND = 20;

        /** Fills in what may be left out. */
        public PlatformSettings {
            callsPerSecond = orDefault(callsPerSecond, CALLS_PER_SECOND);
        }
    }

    /**
     * The request path.
     *
     * @param ringCapacity how many tasks may wait for the steering thread
     * @param drainMillis the longest time a planned stop takes, in milliseconds
     */
    public record SteeringSettings(Integer ringCapacity, Integer drainMillis) {

        private static final int RING_CAPACITY = 16_384;
        private static final int DRAIN_MILLIS = 30_000;

        /** Fills in what may be left out. */
        public SteeringSettings {
            ringCapacity = orDefault(ringCapacity, RING_CAPACITY);
            drainMillis = orDefault(drainMillis, DRAIN_MILLIS);
        }
    }

    /**
     * The log.
     *
     * @param format "text" or "json"
     * @param level "error", "warn", "info", "debug" or "trace"
     */
    public record LogSettings(String format, String level) {

        /** Fills in what may be left out. */
        public LogSettings {
            format = orDefault(format, "text");
            level = orDefault(level, "info");
        }
    }
}
