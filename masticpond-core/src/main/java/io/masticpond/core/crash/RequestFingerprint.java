package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Names a request by what it asks for, whichever attempt of whichever client carries it: 128 bits
 * of a cryptographic hash, so that nobody can make a request that passes for another's.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 * @since 0.2
 */
public record RequestFingerprint(long high, long low) {

    /** The number of hexadecimal digits of one as a text. */
    private static final int DIGITS = 32;

    private static final int DIGITS_OF_HALF = DIGITS / 2;

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
