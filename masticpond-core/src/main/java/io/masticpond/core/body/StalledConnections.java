package io.masticpond.core.body;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/**
 * Choice of the client connection to close while responses wait for room: the one that has stalled
 * longest.
 *
 * @since 0.3
 */
public final class StalledConnections {

    /**
     * Minimum stall of a connection that is closed; a lost packet stalls a client for up to 1 s.
     */
    public static final long MINIMUM_STALL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private StalledConnections() {}

    /**
     * Chooses the connection to close.
     *
     * @param <C> the type of the connections
     * @param connections the connections
     * @param stallNanos returns for how long a client has taken nothing of a response that is ready
     *     for it, in nanoseconds; 0 if none is ready
     * @return the connection, or empty if none has stalled for long enough
     */
    public static <C> Optional<C> choose(List<C> connections, ToLongFunction<C> stallNanos) {
        C longest = null;
        long longestNanos = MINIMUM_STALL_NANOS - 1;
        for (C each : connections) {
            long nanos = stallNanos.applyAsLong(each);
            if (nanos > longestNanos) {
                longest = each;
                longestNanos = nanos;
            }
        }
        return Optional.ofNullable(longest);
    }
}
