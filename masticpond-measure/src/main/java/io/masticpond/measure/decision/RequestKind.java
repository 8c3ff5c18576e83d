package io.masticpond.measure.decision;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Kind of request of the simulated clients.
 *
 * @param name the name of the kind
 * @param service the service that executes it
 * @param share its share of all requests, from 0 to 1
 * @param workMillis the mean time that a server works on a request whose object it has not cached
 * @param targetMillis the time within which an answer is in time
 * @param deadlineMillis the time for which the client waits
 * @param objects the number of different objects that the clients of one region request
 * @param priority the priority, 0 being the most urgent
 * @param idempotent whether it may be executed twice
 * @param answerBytes the size of an answer, in bytes
 */
record RequestKind(
        String name,
        ServiceId service,
        double share,
        double workMillis,
        long targetMillis,
        long deadlineMillis,
        int objects,
        int priority,
        boolean idempotent,
        int answerBytes) {

    private static final int ATTEMPTS = 3;

    Route route() {
        return new Route(
                new RouteId(name),
                "host",
                "/" + name + "/",
                idempotent,
                Duration.ofMillis(deadlineMillis),
                Duration.ofMillis(targetMillis),
                priority,
                ATTEMPTS,
                true,
                Set.of(),
                List.of(new WeightedService(service, 1)));
    }
}
