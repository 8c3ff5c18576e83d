package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Policy that sizes allotments: large enough to continue for a while without the platform, smaller
 * as the remainder of the cap shrinks, and never so small that the platform is called too often.
 *
 * @param cover how long a full allotment lasts at the measured rate; a terminated holder strands up
 *     to this much, and a holder cut off from the platform can continue for half to all of this
 *     time
 * @param shareDivisor a holder takes at most the remainder divided by this and by the number of
 *     holders
 * @param writesPerSecond how often all holders of one ledger together may change it when the
 *     remainder is small
 * @since 0.1
 */
public record AllotmentPolicy(Duration cover, int shareDivisor, int writesPerSecond) {

    /** Default sizes; docs/design/spending.md gives the reasons. */
    public static final AllotmentPolicy DEFAULT =
            new AllotmentPolicy(Duration.ofMinutes(15), 2, 20);

    private static final long MINIMUM_PRICES_HELD = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the components. */
    public AllotmentPolicy {
        Assert.isTrue(cover.toNanos() > 0, "The cover of an allotment must be positive.");
        Assert.positive(shareDivisor, "The divisor of a share");
        Assert.positive(writesPerSecond, "A rate of changes");
    }

    /**
     * Returns the amount that a holder should hold.
     *
     * @param ratePerSecond the holder's rate of spending in millionths a second
     * @param remainingMicros the amount that may still be allotted
     * @param holders how many instances share the ledger, positive
     * @param priceMicros the highest known price
     * @return the amount in millionths, not limited to the remainder
     */
    public long target(double ratePerSecond, long remainingMicros, int holders, long priceMicros) {
        double wanted = ratePerSecond * cover.toNanos() / NANOS_PER_SECOND;
        double share = (double) remainingMicros / shareDivisor / holders;
        double minimum = minimumAllotment(ratePerSecond, holders, priceMicros);
        return (long) Math.max(minimum, Math.min(wanted, share));
    }

    /**
     * Returns the amount that a holder needs to avoid calling the platform too often.
     *
     * @param ratePerSecond the holder's rate of spending in millionths a second
     * @param holders how many instances share the ledger, positive
     * @param priceMicros the highest known price
     * @return the amount in millionths
     */
    public long minimumAllotment(double ratePerSecond, int holders, long priceMicros) {
        double seconds = (double) holders / writesPerSecond;
        return Math.max(MINIMUM_PRICES_HELD * priceMicros, (long) (ratePerSecond * seconds));
    }
}
