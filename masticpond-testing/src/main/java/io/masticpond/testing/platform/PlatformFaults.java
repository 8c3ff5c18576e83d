package io.masticpond.testing.platform;

import io.masticpond.core.support.Assert;

/**
 * The faults that a stand-in platform shows, all off in {@link #NONE}.
 *
 * @param outage what becomes of every call, {@link PlatformCallDisposition#SERVED} for no outage
 * @param refusedShare the share of calls that are refused, from 0 to 1
 * @param lostAnswerShare the share of writes and deletions whose answer is lost, from 0 to 1
 * @param lateEffectShare the share of writes and deletions whose answer is lost and which take
 *     effect only after the delay, from 0 to 1
 * @param delayMillis how much later every answer comes
 * @param watchLagMillis how much later a watch tells of a change
 * @param listLagMillis how old the list of instances is
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

    /** Checks the parts; a missing outage means none. */
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
     * Makes the faults of an outage.
     *
     * @param fate what becomes of every call
     * @return the faults
     */
    public static PlatformFaults outage(PlatformCallDisposition fate) {
        return new PlatformFaults(fate, 0, 0, 0, 0, 0, 0);
    }

    /**
     * Makes the fault that answers to writes are lost.
     *
     * @param share the share of writes and deletions, from 0 to 1
     * @return the faults
     */
    public static PlatformFaults lostAnswers(double share) {
        return new PlatformFaults(PlatformCallDisposition.SERVED, 0, share, 0, 0, 0, 0);
    }

    /**
     * Makes the fault that every answer comes late.
     *
     * @param millis how much later
     * @return the faults
     */
    public static PlatformFaults delay(long millis) {
        return new PlatformFaults(PlatformCallDisposition.SERVED, 0, 0, 0, millis, 0, 0);
    }

    /**
     * Makes the fault that watches and lists lag.
     *
     * @param watchMillis the lag of watches
     * @param listMillis the lag of the list of instances
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
