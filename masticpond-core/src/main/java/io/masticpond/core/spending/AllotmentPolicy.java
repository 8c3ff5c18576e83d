package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Sizes allotments: enough to go on without the platform for a while, less as the remainder of the
 * cap shrinks, and never so little that the platform would be called too often.
 *
 * @param cover how long a full allotment lasts at the measured rate; a dead holder strands up to
 *     this much, a cut-off one can go on for half of it to all of it
 * @param shareDivisor a holder takes at most the remainder divided by this and by the number of
 *     holders
 * @param writesPerSecond how often all holders of one ledger together may change it when the
 *     remainder is small
 * @since 0.1
 */
public record AllotmentPolicy(Duration cover, int shareDivisor, int writesPerSecond) {

    /** The sizes that docs/design/spending.md gives the reasons for. */
    public static final AllotmentPolicy DEFAULT =
            new AllotmentPolicy(Duration.ofMinutes(15), 2, 20);

    private static final long MINIMUM_PRICES = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks the parts. */
    public AllotmentPolicy {
        Assert.isTrue(cover.toNanos() > 0, "The cover of an allotment must be positive.");
        Assert.positive(shareDivisor, "The divisor of a share");
        Assert.positive(writesPerSecond, "A rate of changes");
    }

    /**
     * Tells how much a holder should hold.
     *
     * @param ratePerSecond the holder's rate of spending in millionths a second
     * @param remainingMicros what may still be allotted
     * @param holders how many instances share the ledger, positive
     * @param priceMicros the highest price seen
     * @return the amount in millionths, not limited to the remainder
     */
    public long target(double ratePerSecond, long remainingMicros, int holders, long priceMicros) {
        double wanted = ratePerSecond * cover.toNanos() / NANOS_PER_SECOND;
        double share = (double) remainingMicros / shareDivisor / holders;
        double least = floor(ratePerSecond, holders, priceMicros);
        return (long) Math.max(least, Math.min(wanted, share));
    }

    /**
     * Tells how much a holder needs so that it doesn't call the platform too often.
     *
     * @param ratePerSecond the holder's rate of spending in millionths a second
     * @param holders how many instances share the ledger, positive
     * @param priceMicros the highest price seen
     * @return the amount in millionths
     */
    public long floor(double ratePerSecond, int holders, long priceMicros) {
        double seconds = (double) holders / writesPerSecond;
        return Math.max(MINIMUM_PRICES * priceMicros, (long) (ratePerSecond * seconds));
    }
}
