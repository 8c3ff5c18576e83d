package io.masticpond.core.statement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Header in which a backend server states for how long it is cold.
 *
 * @since 0.3
 */
public final class ColdHeader {

    private static final Pattern MILLIS = Pattern.compile("\\d{1,15}");

    private ColdHeader() {}

    /**
     * Parses the header values of one answer.
     *
     * @param values all values of the header, empty if the header is absent
     * @return the remaining time, zero if the server is warm; the longest of several, or empty if
     *     no value is a number of milliseconds
     */
    public static Optional<Duration> parse(List<String> values) {
        return values.stream()
                .map(String::trim)
                .filter(value -> MILLIS.matcher(value).matches())
                .map(value -> Duration.ofMillis(Long.parseLong(value)))
                .max(Duration::compareTo);
    }
}
