package io.masticpond.command.task;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converter for durations such as 500ms, 3s, 5m, 2h or 1d. */
final class DurationConverter implements ITypeConverter<Duration> {

    private static final Pattern PATTERN = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");
    private static final Map<String, Duration> UNITS =
            Map.of(
                    "ms", Duration.ofMillis(1),
                    "s", Duration.ofSeconds(1),
                    "m", Duration.ofMinutes(1),
                    "h", Duration.ofHours(1),
                    "d", Duration.ofDays(1));

    @Override
    public Duration convert(String text) {
        Matcher matcher = PATTERN.matcher(text);
        Duration duration =
                matcher.matches()
                        ? UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)))
                        : Duration.ZERO;
        if (duration.isZero()) {
            throw new TypeConversionException(
                    "A duration must be like 500ms, 3s, 5m, 2h or 1d, but was '" + text + "'.");
        }
        return duration;
    }
}
