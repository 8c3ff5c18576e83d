package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Passes requests on to the homes of their operation keys; safe for all threads.
 *
 * @since 0.1
 */
public interface OperationPeers {

    /**
     * Passes a request on, once.
     *
     * @param to the instance of the home
     * @param key the operation key
     * @param request the request
     * @param listener takes the one result, on any thread
     */
    void forward(
            InstanceId to,
            OperationKey key,
            SteeredRequest request,
            Consumer<ForwardResult> listener);

    /**
     * Tells which instance took over the outcomes of a home that stopped as planned, if any did.
     *
     * @param home the run of the instance that stopped
     * @return another live instance, or empty if it is this one or none
     */
    Optional<InstanceId> adopterOf(Incarnation home);

    /**
     * Chooses the instance that claims a caller's own key, so that updates of one bucket come from
     * one instance and seldom meet; all that see the same instances choose the same one. It is a
     * matter of speed only: any instance may claim any key.
     *
     * @param callerKey the caller's key
     * @return another instance, or empty if it is this one
     */
    Optional<InstanceId> claimerOf(CallerKey callerKey);

    /**
     * Passes a request with a caller's own key on to the instance that should claim it, once.
     *
     * @param to the instance
     * @param callerKey the caller's key
     * @param request the request
     * @param listener takes the one result, on any thread
     */
    void forwardToClaim(
            InstanceId to,
            CallerKey callerKey,
            SteeredRequest request,
            Consumer<ForwardResult> listener);

    /**
     * Hands outcomes over to the instance that answers for this home when it is gone.
     *
     * @param home the run of this instance
     * @param outcomes the outcomes
     * @return how many outcomes the other instance took
     */
    CompletableFuture<Integer> handOver(
            Incarnation home, List<KeptOutcome<RequestCompletion.Answered>> outcomes);
}
