package io.masticpond.entry.request;

import io.masticpond.core.routing.Route;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.settings.HeaderNames;
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
     * Returns the time until the deadline that the client of a request has stated.
     *
     * @param request the request
     * @param names the names of the headers
     * @param nowNanos the monotonic time
     * @return the time in nanoseconds, negative if it has passed; {@link Long#MAX_VALUE} if the
     *     client has stated no deadline
     */
    static long untilDeadlineNanos(IncomingRequest request, HeaderNames names, long nowNanos) {
        Long wait = parseDeadlineMillis(request.headers().get(names.deadlineMillis()));
        return wait == null
                ? Long.MAX_VALUE
                : TimeUnit.MILLISECONDS.toNanos(wait) - (nowNanos - request.beginNanos());
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
