package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The limits and paces of an admission.
 *
 * @param maximumWaiting how many requests may wait
 * @param grace how long after its deadline a server may still work on a request given up
 * @param reportLag how old a server's report of its requests in flight may be
 * @param wideningPeriod how long after a change of admitters work of an earlier one may go on
 * @param pauseLimit a longer time without a call counts as a pause of this process, in which
 *     another admitter may have begun; the fair share holds for as long again, so that membership
 *     can say so, and then widens
 * @param outliers when backend servers are ejected
 * @param rampIn how fast a cold backend server gets more work
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

    /** Suits services of a few hundred slots with deadlines of a few seconds. */
    public static final AdmissionSettings DEFAULT =
            new AdmissionSettings(
                    1_024,
                    Duration.ofMillis(100),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    OutlierSettings.DEFAULT,
                    RampInSettings.DEFAULT);

    /** Checks the parts. */
    public AdmissionSettings {
        Assert.positive(maximumWaiting, "The greatest number of waiting requests");
        Assert.notNegative(grace.toNanos(), "A grace");
        Assert.notNegative(reportLag.toNanos(), "A report lag");
        Assert.notNegative(wideningPeriod.toNanos(), "A widening period");
        Assert.positive(pauseLimit.toNanos(), "A pause limit");
        Assert.notNull(outliers, "The outlier settings");
        Assert.notNull(rampIn, "The ramp-in settings");
    }

    /**
     * Gives the same settings with another widening period, such as the longest deadline of the
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
     * Gives the same settings with another age that reports may have.
     *
     * @param lag the greatest age of a report
     * @return the settings
     */
    public AdmissionSettings withReportLag(Duration lag) {
        return new AdmissionSettings(
                maximumWaiting, grace, lag, wideningPeriod, pauseLimit, outliers, rampIn);
    }
}
