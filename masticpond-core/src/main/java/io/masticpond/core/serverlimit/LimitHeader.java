package io.masticpond.core.serverlimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What one answer of a backend server says about its limit.
 *
 * @param kind whether it names a limit
 * @param perSecond the requests a second that the server takes from all instances together; only
 *     {@link Kind#LIMITED} has a finite one
 * @since 0.2
 */
public record LimitHeader(Kind kind, double perSecond) {

    /**
     * Whether an answer names a limit.
     *
     * @since 0.2
     */
    public enum Kind {
        /** It names none, so the server takes what comes. */
        ABSENT,
        /** It names one. */
        LIMITED,
        /** It names something else, which says nothing either way. */
        MALFORMED
    }

    /** An answer without a limit. */
    public static final LimitHeader ABSENT = new LimitHeader(Kind.ABSENT, Double.POSITIVE_INFINITY);

    private static final LimitHeader MALFORMED =
            new LimitHeader(Kind.MALFORMED, Double.POSITIVE_INFINITY);

    /** Signs, exponents and words are no decimal number. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /**
     * Reads the values of the header of one answer.
     *
     * @param values all values, none if the header is absent
     * @return what they say; more than one value is malformed
     */
    public static LimitHeader parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        String text = values.get(0).trim();
        if (values.size() > 1 || !DECIMAL.matcher(text).matches()) {
            return MALFORMED;
        }
        return new LimitHeader(Kind.LIMITED, Double.parseDouble(text));
    }
}
