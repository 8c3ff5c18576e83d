package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Fingerprint of the contents of a request, independent of the client and the attempt: 96 bits of a
 * cryptographic hash, so that no client can forge a request that matches another one's, and a
 * checksum that distinguishes most requests at a hundredth of the cost.
 *
 * @param high the first 64 bits of the hash
 * @param low its next 32 bits, and the checksum in the last 32
 * @since 0.2
 */
public record RequestFingerprint(long high, long low) {

    /** Number of hexadecimal digits of the text form. */
    private static final int DIGITS = 32;

    private static final long LOW_BITS = 0xffffffffL;
    private static final int DIGITS_PER_LONG = DIGITS / 2;

    /**
     * Creates a fingerprint from its parts.
     *
     * @param high the first 64 bits of the hash
     * @param next its next 32 bits
     * @param checksum the checksum
     * @return the fingerprint
     */
    public static RequestFingerprint of(long high, int next, int checksum) {
        return new RequestFingerprint(high, (long) next << Integer.SIZE | checksum & LOW_BITS);
    }

    /**
     * Returns the checksum, which other requests may share.
     *
     * @return the checksum
     */
    public int checksum() {
        return (int) low;
    }

    /**
     * Parses the text that {@link #toString} returns.
     *
     * @param text the text
     * @return the fingerprint, or empty if the text is not one
     */
    public static Optional<RequestFingerprint> parse(String text) {
        Assert.notNull(text, "A text");
        if (text.length() != DIGITS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new RequestFingerprint(
                            HexFormat.fromHexDigitsToLong(text, 0, DIGITS_PER_LONG),
                            HexFormat.fromHexDigitsToLong(text, DIGITS_PER_LONG, DIGITS)));
        } catch (IllegalArgumentException invalidDigits) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
