package io.masticpond.core.loadcontrol;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Rule that determines for which services load control is active. A prediction of the time of an
 * answer requires servers that report how long their work takes, so load control becomes active for
 * a service with the first such report.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class LoadControlActivation {

    /**
     * Time after the last report from which on a service is no longer active. It exceeds a planned
     * replacement of all servers of a service.
     */
    static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<ServiceId, Long> mReportedNanos = new HashMap<>();
    private LoadControlSettings mSettings;

    /**
     * Creates the rule without reports.
     *
     * @param settings the settings
     */
    public LoadControlActivation(LoadControlSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of load control");
    }

    /**
     * Replaces the settings; reports are kept.
     *
     * @param settings the settings
     */
    public void applySettings(LoadControlSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of load control");
    }

    /**
     * Returns the settings in force.
     *
     * @return the settings
     */
    public LoadControlSettings settings() {
        return mSettings;
    }

    /**
     * Records that a server reported how long its work takes, to this instance or to another one.
     *
     * @param service the service of the server
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void recordTimeReport(ServiceId service, long nowNanos) {
        mReportedNanos.put(service, nowNanos);
    }

    /**
     * Returns the age of the last report of a server on how long its work takes.
     *
     * @param service the service of the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds, or empty if there is no report
     */
    public OptionalLong reportAgeNanos(ServiceId service, long nowNanos) {
        Long reported = mReportedNanos.get(service);
        return reported == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - reported);
    }

    /**
     * Removes the state of services that are no longer configured.
     *
     * @param services the configured services
     */
    public void retain(Set<ServiceId> services) {
        mReportedNanos.keySet().retainAll(services);
    }

    /**
     * Determines whether load control is active for a service.
     *
     * @param service the service
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether it is active
     */
    public boolean isActive(ServiceId service, long nowNanos) {
        Long reported = mReportedNanos.get(service);
        return mSettings
                .mode()
                .isActive(reported != null && nowNanos - reported < REPORT_VALIDITY_NANOS);
    }
}
