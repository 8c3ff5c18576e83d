package io.masticpond.core.statement;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/**
 * What one answer of a backend server says about a pause: for how long it wants no requests from
 * the instance that it answers.
 *
 * @param kind whether it asks for one
 * @param length how long; zero unless it asks for one
 * @since 0.2
 */
public record PauseHeader(Kind kind, Duration length) {

    /**
     * Whether an answer asks for a pause.
     *
     * @since 0.2
     */
    public enum Kind {
        /** It asks for none. */
        ABSENT,
        /** It asks for one. */
        PAUSE,
        /** It says something else, which means nothing. */
        MALFORMED
    }

    /** An answer that asks for no pause. */
    public static final PauseHeader ABSENT = new PauseHeader(Kind.ABSENT, Duration.ZERO);

    private static final PauseHeader MALFORMED = new PauseHeader(Kind.MALFORMED, Duration.ZERO);

    /** Seconds; signs, exponents, words and dates are none. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");

    private static final int NANOS_DIGITS = 9;

    /**
     * Reads the values of the header of one answer.
     *
     * @param values all values, none if the header is absent
     * @return what they say; of several pauses the longest
     */
    public static PauseHeader parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        return values.stream()
                .map(String::trim)
                .filter(value -> SECONDS.matcher(value).matches())
                .map(PauseHeader::length)
                .max(Duration::compareTo)
                .map(longest -> new PauseHeader(Kind.PAUSE, longest))
                .orElse(MALFORMED);
    }

    private static Duration length(String seconds) {
        BigDecimal value = new BigDecimal(seconds);
        long whole = value.longValue();
        BigDecimal rest = value.subtract(BigDecimal.valueOf(whole));
        return Duration.ofSeconds(whole, rest.movePointRight(NANOS_DIGITS).longValue());
    }
}
