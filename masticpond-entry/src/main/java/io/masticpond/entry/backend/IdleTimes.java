package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Utility methods that read how long a server keeps idle connections and derive how long one may be
 * reused.
 */
final class IdleTimes {

    /** Result of {@link #statedTimeoutNanos} if the server states no timeout. */
    static final long UNSTATED = -1;

    private static final String TIMEOUT = "timeout=";
    private static final int MAXIMUM_DIGITS = 6;
    private static final long MINIMUM_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MARGIN_DIVISOR = 5;

    private IdleTimes() {}

    /** Returns the time in nanoseconds after which the server states to close idle connections. */
    static long statedTimeoutNanos(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.KEEP_ALIVE);
        if (value == null) {
            return UNSTATED;
        }
        for (String part : value.toLowerCase(Locale.ROOT).split(",")) {
            String parameter = part.strip();
            if (parameter.startsWith(TIMEOUT)) {
                return parseTimeoutNanos(parameter.substring(TIMEOUT.length()).strip());
            }
        }
        return UNSTATED;
    }

    /**
     * Subtracts a margin for the time in which a request is transmitted: a fifth, and at least half
     * a second.
     */
    static long withMargin(long nanos) {
        return Math.max(0, nanos - Math.max(nanos / MARGIN_DIVISOR, MINIMUM_MARGIN_NANOS));
    }

    private static long parseTimeoutNanos(String digits) {
        boolean isNumber =
                !digits.isEmpty()
                        && digits.length() <= MAXIMUM_DIGITS
                        && digits.chars().allMatch(each -> each >= '0' && each <= '9');
        return isNumber ? TimeUnit.SECONDS.toNanos(Long.parseLong(digits)) : UNSTATED;
    }
}
