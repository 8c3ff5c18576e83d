package io.masticpond.core.statement;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Value of the pause header in one answer of a backend server: the time for which the server
 * requests a pause from the instance that receives the answer.
 *
 * @param kind whether the answer requests a pause
 * @param length the length of the pause; zero unless a pause is requested
 * @since 0.2
 */
public record PauseHeader(Kind kind, Duration length) {

    /**
     * Kinds of pause headers.
     *
     * @since 0.2
     */
    public enum Kind {
        /** No header; no pause is requested. */
        ABSENT,
        /** The header requests a pause. */
        PAUSE,
        /** The header is not a valid pause and is ignored. */
        MALFORMED
    }

    /** Header of an answer that requests no pause. */
    public static final PauseHeader ABSENT = new PauseHeader(Kind.ABSENT, Duration.ZERO);

    private static final PauseHeader MALFORMED = new PauseHeader(Kind.MALFORMED, Duration.ZERO);

    /** Number of seconds; signs, exponents, words and dates do not match. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");

    private static final int NANOS_DIGITS = 9;

    /**
     * Parses the header values of one answer.
     *
     * @param values all values of the header, empty if the header is absent
     * @return the parsed header; the longest of several valid pauses
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
