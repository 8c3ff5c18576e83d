package io.masticpond.core.serverlimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Value of the limit header in one answer of a backend server.
 *
 * @param kind whether the answer states a limit
 * @param perSecond the requests per second that the server accepts from all instances together;
 *     finite only for {@link Kind#LIMITED}
 * @since 0.2
 */
public record LimitHeader(Kind kind, double perSecond) {

    /**
     * Kinds of limit headers.
     *
     * @since 0.2
     */
    public enum Kind {
        /** No header; the server accepts any number of requests. */
        ABSENT,
        /** The header states a limit. */
        LIMITED,
        /** The header is not a valid limit and is ignored. */
        MALFORMED
    }

    /** Header of an answer that states no limit. */
    public static final LimitHeader ABSENT = new LimitHeader(Kind.ABSENT, Double.POSITIVE_INFINITY);

    private static final LimitHeader MALFORMED =
            new LimitHeader(Kind.MALFORMED, Double.POSITIVE_INFINITY);

    /** Unsigned decimal number; signs, exponents and words do not match. */
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

    /**
     * Parses the header values of one answer.
     *
     * @param values all values of the header, empty if the header is absent
     * @return the parsed header; {@link Kind#MALFORMED} if there is more than one value
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
