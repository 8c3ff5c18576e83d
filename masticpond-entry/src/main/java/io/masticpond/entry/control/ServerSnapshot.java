package io.masticpond.entry.control;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.limit.ServerEvaluation;
import io.masticpond.core.placement.AvoidReason;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.statement.WithdrawalView;
import java.util.List;
import java.util.Optional;

/**
 * Snapshot of this instance's view of a backend server.
 *
 * @param server the server as registered, with a longer cold period if this instance observed one
 * @param evacuated whether its zone is evacuated
 * @param cold whether it is treated as cold
 * @param owners the instances that pace requests to it while it is cold, in the view of this
 *     instance
 * @param own the number of requests of this instance that it is processing
 * @param inFlight the estimated number of requests of all instances that it is processing
 * @param serviceNanos the typical service time of a request in nanoseconds, 0 if none was answered
 * @param avoidReason the reason why it temporarily gets no requests, if any
 * @param withdrawal its statement that it is leaving or pausing, if any
 * @param limit the view of the rate limit that it states, if any
 * @param evaluation the evaluation of its calls, if any request was sent to it
 */
record ServerSnapshot(
        RegisteredServer server,
        boolean evacuated,
        boolean cold,
        List<InstanceId> owners,
        int own,
        double inFlight,
        double serviceNanos,
        Optional<AvoidReason> avoidReason,
        Optional<WithdrawalView> withdrawal,
        Optional<LimitView> limit,
        Optional<ServerEvaluation> evaluation) {}
