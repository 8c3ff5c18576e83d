package io.masticpond.measure.decision;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A kind of request of the modelled clients.
 *
 * @param name its name
 * @param service the service that runs it
 * @param share its part of all requests
 * @param workMillis how long a server works on one whose object it does not know, on the average
 * @param targetMillis within which time an answer is in time
 * @param deadlineMillis how long the client waits
 * @param objects how many objects the clients of one region ask for
 * @param priority its priority, 0 being the most urgent
 * @param idempotent whether it may run twice
 * @param answerBytes how large its answers are
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
