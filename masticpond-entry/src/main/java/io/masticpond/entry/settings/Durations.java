package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import java.math.BigDecimal;
import java.time.Duration;

/**
 * Parser of durations in their textual form, such as "1500ms" and "2.5s".
 *
 * @since 0.2
 */
public final class Durations {

    /** Description of a valid text, for error messages. */
    public static final String KIND = "a time such as 1500ms or 2.5s";

    private static final String MILLIS = "ms";
    private static final String SECONDS = "s";
    private static final int MAXIMUM_LENGTH = 20;
    private static final int MILLIS_EXPONENT = 6;
    private static final int SECONDS_EXPONENT = 9;

    private Durations() {}

    /**
     * Parses one duration.
     *
     * @param text a number that is not negative, followed by its unit, ms or s
     * @return the duration
     * @throws IllegalArgumentException if the text is not a valid duration
     */
    public static Duration parse(String text) {
        Assert.isTrue(text.length() <= MAXIMUM_LENGTH, "'%s' is too long for a time.", text);
        if (text.endsWith(MILLIS)) {
            return scaled(text, MILLIS, MILLIS_EXPONENT);
        }
        Assert.isTrue(text.endsWith(SECONDS), "'%s' has no unit, ms or s.", text);
        return scaled(text, SECONDS, SECONDS_EXPONENT);
    }

    private static Duration scaled(String text, String unit, int exponent) {
        BigDecimal number = new BigDecimal(text.substring(0, text.length() - unit.length()));
        Assert.isTrue(number.signum() >= 0, "A time must not be negative, but was '%s'.", text);
        Assert.isTrue(
                number.precision() - number.scale() <= SECONDS_EXPONENT,
                "'%s' is too long a time.",
                text);
        return Duration.ofNanos(number.scaleByPowerOfTen(exponent).longValue());
    }
}
