package io.masticpond.core.timeline;

import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Filter that selects events.
 *
 * @param since the lowest time of the events
 * @param service the service that the events must concern, or empty for any
 * @param object the id of the request or other object that the events must concern, or empty for
 *     any
 * @param limit the maximum number of events, positive; the newest events are returned
 * @since 0.1
 */
public record TimelineQuery(
        HybridTime since, Optional<String> service, Optional<String> object, int limit) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a component is {@code null} or the limit is not positive
     */
    public TimelineQuery {
        Assert.notNull(since, "A time");
        Assert.notNull(service, "A service");
        Assert.notNull(object, "An object");
        Assert.positive(limit, "A limit");
    }

    /**
     * Creates a query for all events up to a limit.
     *
     * @param limit the maximum number of events, positive
     * @return the query
     */
    public static TimelineQuery all(int limit) {
        return new TimelineQuery(HybridTime.ZERO, Optional.empty(), Optional.empty(), limit);
    }

    /**
     * Determines whether an event matches this query, apart from the limit.
     *
     * @param event the event
     * @return {@code true} if the event matches
     */
    public boolean matches(TimelineEvent event) {
        if (event.time().compareTo(since) < 0) {
            return false;
        }
        if (service.isPresent() && !service.get().equals(event.service())) {
            return false;
        }
        return object.isEmpty() || object.get().equals(event.object());
    }
}
