package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Names a request by what it asks for, whichever attempt of whichever client carries it: 96 bits of
 * a cryptographic hash, so that nobody can make a request that passes for another's, and a checksum
 * by which most requests are told apart at a hundredth of the cost.
 *
 * @param high the first 64 bits of the hash
 * @param low its next 32 bits, and the checksum in the last 32
 * @since 0.2
 */
public record RequestFingerprint(long high, long low) {

    /** The number of hexadecimal digits of one as a text. */
    private static final int DIGITS = 32;

    private static final long LOW_BITS = 0xffffffffL;
    private static final int DIGITS_OF_HALF = DIGITS / 2;

    /**
     * Joins a fingerprint.
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
     * Gives the checksum, which may be the same for other requests.
     *
     * @return the checksum
     */
    public int checksum() {
        return (int) low;
    }

    /**
     * Reads the text that {@link #toString} gives.
     *
     * @param text the text
     * @return the fingerprint, or empty if the text names none
     */
    public static Optional<RequestFingerprint> parse(String text) {
        Assert.notNull(text, "A text");
        if (text.length() != DIGITS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new RequestFingerprint(
                            HexFormat.fromHexDigitsToLong(text, 0, DIGITS_OF_HALF),
                            HexFormat.fromHexDigitsToLong(text, DIGITS_OF_HALF, DIGITS)));
        } catch (IllegalArgumentException noDigits) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
