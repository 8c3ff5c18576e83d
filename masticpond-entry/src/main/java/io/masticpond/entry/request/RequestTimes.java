package io.masticpond.entry.request;

import io.masticpond.core.routing.Route;
import java.util.concurrent.TimeUnit;

/**
 * Times by which a request must be answered, on the monotonic clock.
 *
 * @param arrivalNanos when the first byte of the request was read
 * @param deadlineNanos when the client stops waiting
 * @param endNanos when this instance answers at the latest: the deadline or the route's timeout
 * @since 0.2
 */
public record RequestTimes(long arrivalNanos, long deadlineNanos, long endNanos) {

    /**
     * Computes the times.
     *
     * @param arrivalNanos when the first byte of the request was read
     * @param deadlineMillis how long the client waits, or null if it stated no deadline
     * @param route the route
     * @return the times
     */
    public static RequestTimes of(long arrivalNanos, Long deadlineMillis, Route route) {
        long timeout = route.timeout().toNanos();
        long wait =
                deadlineMillis == null ? timeout : TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        return new RequestTimes(
                arrivalNanos, arrivalNanos + wait, arrivalNanos + Math.min(wait, timeout));
    }

    /**
     * Reads the time that a client waits.
     *
     * @param text the value of the header, may be null
     * @return the time in milliseconds, or null if it is missing or malformed
     */
    static Long parseDeadlineMillis(String text) {
        if (text == null) {
            return null;
        }
        try {
            return Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    /**
     * Returns the time left until this instance answers at the latest.
     *
     * @param nowNanos the monotonic time
     * @return the time in nanoseconds, negative if it has passed
     */
    public long leftNanos(long nowNanos) {
        return endNanos - nowNanos;
    }
}
