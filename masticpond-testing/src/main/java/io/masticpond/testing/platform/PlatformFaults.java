package io.masticpond.testing.platform;

import io.masticpond.core.support.Assert;

/**
 * Faults of a stand-in platform, all off in {@link #NONE}.
 *
 * @param outage disposition of every call, {@link PlatformCallDisposition#SERVED} for no outage
 * @param refusedShare share of calls that are refused, from 0 to 1
 * @param lostAnswerShare share of writes and deletions whose response is lost, from 0 to 1
 * @param lateEffectShare share of writes and deletions whose response is lost and which take effect
 *     only after the delay, from 0 to 1
 * @param delayMillis delay of every response in milliseconds
 * @param watchLagMillis delay of changes in watches in milliseconds
 * @param listLagMillis age of the list of instances in milliseconds
 * @since 0.1
 */
public record PlatformFaults(
        PlatformCallDisposition outage,
        double refusedShare,
        double lostAnswerShare,
        double lateEffectShare,
        long delayMillis,
        long watchLagMillis,
        long listLagMillis) {

    /** No faults. */
    public static final PlatformFaults NONE =
            new PlatformFaults(PlatformCallDisposition.SERVED, 0, 0, 0, 0, 0, 0);

    /** Validates the components; a missing outage means none. */
    public PlatformFaults {
        outage = outage == null ? PlatformCallDisposition.SERVED : outage;
        checkShare(refusedShare, "A share of refused calls");
        checkShare(lostAnswerShare, "A share of lost answers");
        checkShare(lateEffectShare, "A share of late effects");
        Assert.notNegative(delayMillis, "A delay in milliseconds");
        Assert.notNegative(watchLagMillis, "A lag of watches in milliseconds");
        Assert.notNegative(listLagMillis, "A lag of lists in milliseconds");
    }

    /**
     * Creates the faults of an outage.
     *
     * @param disposition disposition of every call
     * @return the faults
     */
    public static PlatformFaults outage(PlatformCallDisposition disposition) {
        return new PlatformFaults(disposition, 0, 0, 0, 0, 0, 0);
    }

    /**
     * Creates a fault that loses responses to writes and deletions.
     *
     * @param share share of writes and deletions, from 0 to 1
     * @return the faults
     */
    public static PlatformFaults lostAnswers(double share) {
        return new PlatformFaults(PlatformCallDisposition.SERVED, 0, share, 0, 0, 0, 0);
    }

    /**
     * Creates a fault that delays every response.
     *
     * @param millis delay in milliseconds
     * @return the faults
     */
    public static PlatformFaults delay(long millis) {
        return new PlatformFaults(PlatformCallDisposition.SERVED, 0, 0, 0, millis, 0, 0);
    }

    /**
     * Creates a fault that delays watches and lists.
     *
     * @param watchMillis lag of watches in milliseconds
     * @param listMillis lag of the list of instances in milliseconds
     * @return the faults
     */
    public static PlatformFaults lag(long watchMillis, long listMillis) {
        return new PlatformFaults(
                PlatformCallDisposition.SERVED, 0, 0, 0, 0, watchMillis, listMillis);
    }

    private static void checkShare(double share, String name) {
        Assert.isTrue(share >= 0 && share <= 1, "%s must be from 0 to 1, but was %s.", name, share);
    }
}
