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
 * What is believed of a backend server at a moment.
 *
 * @param server the server as registered, cold for longer if it was seen to be
 * @param evacuated whether its zone is evacuated
 * @param cold whether it is treated as cold
 * @param owners the instances that keep its pace while it is cold, as this one sees it
 * @param own the requests of this instance there
 * @param inFlight the requests of all instances there, as far as known
 * @param serviceNanos the typical time of a request there, 0 if none was answered
 * @param avoidReason why requests are kept away for a moment, if they are
 * @param withdrawal what it has said of whether it takes requests, if it has
 * @param limit what is believed of the limit that it names, if it names one
 * @param evaluation what is held against it, if anything was sent there
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
