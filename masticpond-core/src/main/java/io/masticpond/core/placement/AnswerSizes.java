package io.masticpond.core.placement;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The usual sizes of the answers of each route, as observed, and what they add to a distance. A
 * connection sends some 14,600 bytes before it waits for the other end (ten segments, RFC 6928),
 * and twice as many in each round trip from then on; so an answer of 90 kB crosses regions in three
 * round trips and not in one. It fills the links between them besides, which are the dearest there
 * are. Touched by one thread only.
 *
 * @since 0.2
 */
final class AnswerSizes {

    private static final double FIRST_ROUND_BYTES = 14_600;
    private static final double NEWEST_SHARE = 0.1;

    /** More routes than this are not told apart from small ones, which bounds the memory. */
    private static final int MOST_ROUTES = 10_000;

    private final Map<RouteId, Double> mMeanBytes = new HashMap<>();

    /** Takes the size of an answer. */
    void answered(RouteId route, long bytes) {
        Double before = mMeanBytes.get(route);
        if (before != null) {
            mMeanBytes.put(route, before + NEWEST_SHARE * (bytes - before));
        } else if (mMeanBytes.size() < MOST_ROUTES) {
            mMeanBytes.put(route, (double) bytes);
        }
    }

    /**
     * Gives how many round trips an answer takes after the first. Whole ones only, so that all
     * instances agree on them though each has seen other answers.
     */
    int furtherRounds(RouteId route) {
        double rounds = 1 + mMeanBytes.getOrDefault(route, 0.0) / FIRST_ROUND_BYTES;
        return Math.getExponent(rounds);
    }

    /** Forgets the routes that are gone. */
    void retain(RoutingConfiguration configuration) {
        Set<RouteId> present =
                configuration.routes().stream().map(Route::id).collect(Collectors.toSet());
        mMeanBytes.keySet().retainAll(present);
    }
}
