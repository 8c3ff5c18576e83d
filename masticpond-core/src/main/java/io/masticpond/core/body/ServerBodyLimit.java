package io.masticpond.core.body;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Limit of the bytes of request bodies that an instance has in flight to one backend server. There
 * is none until a server terminates under large bodies; its service then has a limit, which rises
 * again over time.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ServerBodyLimit {

    /** Bytes in flight up to which a termination says nothing, and the lowest limit. */
    public static final long MINIMUM_BYTES = 64 * 1024;

    private static final double GROWTH_FACTOR = 1.1;
    private static final long GROWTH_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Time in which a server must be found terminated after connections to it broke off. The check
     * takes 20 ms, or 420 ms if its first packet is lost.
     */
    private static final long BREAK_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Listener mListener;
    private final Map<BackendServerId, Long> mInFlight = new HashMap<>();
    private final Map<BackendServerId, Break> mBreaks = new HashMap<>();
    private final Map<ServiceId, Learned> mLearned = new HashMap<>();

    /** Callback interface for limits that are learned. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called when a limit was learned.
         *
         * @param server the server that terminated
         * @param inFlightBytes the bytes that were in flight to it
         * @param limitBytes the limit of its service
         */
        void onLearned(RegisteredServer server, long inFlightBytes, long limitBytes);
    }

    /** Largest number of bytes that were in flight as the connections to a server broke off. */
    private record Break(long bytes, long firstNanos) {}

    /** Largest number of bytes at any termination, and the time of the latest termination. */
    private record Learned(long largestBytes, long latestNanos) {}

    /**
     * Creates an instance without limits.
     *
     * @param listener the listener for limits that are learned
     */
    public ServerBodyLimit(Listener listener) {
        mListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Records that a request with a body is being sent.
     *
     * @param server the server
     * @param bytes the length of the body
     */
    public void started(BackendServerId server, long bytes) {
        if (bytes > 0) {
            mInFlight.merge(server, bytes, Long::sum);
        }
    }

    /**
     * Records that such a request has ended in any way.
     *
     * @param server the server
     * @param bytes the length of the body
     */
    public void ended(BackendServerId server, long bytes) {
        if (bytes > 0) {
            mInFlight.computeIfPresent(
                    server, (id, inFlight) -> inFlight > bytes ? inFlight - bytes : null);
        }
    }

    /**
     * Records that a connection to a server broke off during a request. To be called after {@link
     * #ended}.
     *
     * @param server the server
     * @param bytes the length of the request's body
     * @param nowNanos the current monotonic time
     */
    public void brokenOff(BackendServerId server, long bytes, long nowNanos) {
        long inFlight = inFlight(server) + bytes;
        Break former = mBreaks.get(server);
        if (former == null || isExpired(former, nowNanos)) {
            mBreaks.values().removeIf(each -> isExpired(each, nowNanos));
            mBreaks.put(server, new Break(inFlight, nowNanos));
        } else if (inFlight > former.bytes()) {
            mBreaks.put(server, new Break(inFlight, former.firstNanos()));
        }
    }

    /**
     * Records that a server whose connections broke off has terminated. Further calls for the same
     * termination have no effect.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     */
    public void terminated(RegisteredServer server, long nowNanos) {
        Break broken = mBreaks.remove(server.id());
        if (broken == null
                || isExpired(broken, nowNanos)
                || broken.bytes() <= MINIMUM_BYTES
                || server.leaving()) {
            return;
        }
        Learned former = mLearned.get(server.service());
        long largest = Math.max(broken.bytes(), former == null ? 0 : former.largestBytes());
        mLearned.put(server.service(), new Learned(largest, nowNanos));
        mListener.onLearned(server, broken.bytes(), limit(server.service(), nowNanos).getAsLong());
    }

    /**
     * Returns the limit of a service.
     *
     * @param service the service
     * @param nowNanos the current monotonic time
     * @return the limit for each of its servers in bytes, or empty if none was learned
     */
    public OptionalLong limit(ServiceId service, long nowNanos) {
        Learned learned = mLearned.get(service);
        if (learned == null) {
            return OptionalLong.empty();
        }
        double steps = Math.floor((nowNanos - learned.latestNanos()) / (double) GROWTH_NANOS);
        double limit = learned.largestBytes() / 2.0 * Math.pow(GROWTH_FACTOR, steps);
        return OptionalLong.of(Math.max(MINIMUM_BYTES, (long) Math.min(limit, Long.MAX_VALUE)));
    }

    /**
     * Determines whether a request may be sent to a server. Small bodies always may, and so may one
     * body of any size if no other is in flight.
     *
     * @param server the server
     * @param bytes the length of the body
     * @param nowNanos the current monotonic time
     * @return whether the server is below its limit
     */
    public boolean accepts(RegisteredServer server, long bytes, long nowNanos) {
        if (mLearned.isEmpty() || bytes <= BodyBudget.SMALL_BODY_BYTES) {
            return true;
        }
        OptionalLong limit = limit(server.service(), nowNanos);
        long inFlight = inFlight(server.id());
        return limit.isEmpty() || inFlight == 0 || inFlight + bytes <= limit.getAsLong();
    }

    /**
     * Returns the bytes of request bodies in flight to a server.
     *
     * @param server the server
     * @return the number of bytes
     */
    public long inFlight(BackendServerId server) {
        return mInFlight.getOrDefault(server, 0L);
    }

    private static boolean isExpired(Break broken, long nowNanos) {
        return nowNanos - broken.firstNanos() > BREAK_VALIDITY_NANOS;
    }
}
