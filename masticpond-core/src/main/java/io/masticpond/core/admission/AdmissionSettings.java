package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the limits and rates of an {@link Admission}.
 *
 * @param maximumWaiting the maximum number of waiting requests
 * @param grace how long after its deadline a server may still process an abandoned request
 * @param reportLag the maximum age of a server's report of its requests in flight
 * @param wideningPeriod how long after a change of admitters the requests of an earlier one may
 *     still run
 * @param pauseLimit the time without a call above which this process counts as paused, so that
 *     another admitter may have taken over; the fair share then applies for the same time, in which
 *     membership can report one, and widens afterwards
 * @param outliers the conditions of the ejection of backend servers
 * @param rampIn how fast a cold backend server gets more slots
 * @since 0.1
 */
public record AdmissionSettings(
        int maximumWaiting,
        Duration grace,
        Duration reportLag,
        Duration wideningPeriod,
        Duration pauseLimit,
        OutlierSettings outliers,
        RampInSettings rampIn) {

    /** Default settings for services with a few hundred slots and deadlines of a few seconds. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    1_024,
                    Duration.ofMillis(100),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    OutlierSettings.DEFAULT,
                    RampInSettings.DEFAULT);

    /** Validates the components. */
    public AdmissionSettings {
        Assert.positive(maximumWaiting, "The maximum number of waiting requests");
        Assert.notNegative(grace.toNanos(), "A grace");
        Assert.notNegative(reportLag.toNanos(), "A report lag");
        Assert.notNegative(wideningPeriod.toNanos(), "A widening period");
        Assert.positive(pauseLimit.toNanos(), "A pause limit");
        Assert.notNull(outliers, "The outlier settings");
        Assert.notNull(rampIn, "The ramp-in settings");
    }

    /**
     * Returns these settings with the given widening period, such as the longest deadline of the
     * service.
     *
     * @param period the period
     * @return the settings
     */
    public AdmissionSettings withWideningPeriod(Duration period) {
        return new AdmissionSettings(
                maximumWaiting, grace, reportLag, period, pauseLimit, outliers, rampIn);
    }

    /**
     * Returns these settings with the given maximum age of reports.
     *
     * @param lag the maximum age of a report
     * @return the settings
     */
    public AdmissionSettings withReportLag(Duration lag) {
        return new AdmissionSettings(
                maximumWaiting, grace, lag, wideningPeriod, pauseLimit, outliers, rampIn);
    }
}
