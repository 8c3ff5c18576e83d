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
 * Strategy interface for forwarding requests to the homes of their operation keys. Implementations
 * must be thread-safe.
 *
 * @since 0.1
 */
public interface OperationPeers {

    /**
     * Forwards a request to the home of its key, without retries.
     *
     * @param to the home instance
     * @param key the operation key
     * @param request the request
     * @param listener receives the result exactly once, on any thread
     */
    void forward(
            InstanceId to,
            OperationKey key,
            SteeredRequest request,
            Consumer<ForwardResult> listener);

    /**
     * Returns the instance that adopted the outcomes of a home after its planned stop, if any.
     *
     * @param home the incarnation that stopped
     * @return another live instance, or empty if it is this instance or there is none
     */
    Optional<InstanceId> adopterOf(Incarnation home);

    /**
     * Returns the instance that should claim a caller's own key, so that the updates of a bucket
     * come from one instance and rarely conflict. Instances that know the same members choose the
     * same one. This is only an optimization: any instance may claim any key.
     *
     * @param callerKey the caller's key
     * @return another instance, or empty if it is this instance
     */
    Optional<InstanceId> claimerOf(CallerKey callerKey);

    /**
     * Forwards a request with a caller's own key to the instance that should claim it, without
     * retries.
     *
     * @param to the instance
     * @param callerKey the caller's key
     * @param request the request
     * @param listener receives the result exactly once, on any thread
     */
    void forwardToClaim(
            InstanceId to,
            CallerKey callerKey,
            SteeredRequest request,
            Consumer<ForwardResult> listener);

    /**
     * Hands outcomes over to the instance that answers for this home after it has terminated.
     *
     * @param home the incarnation of this instance
     * @param outcomes the outcomes
     * @return the number of outcomes that the other instance adopted
     */
    CompletableFuture<Integer> handOver(
            Incarnation home, List<KeptOutcome<RequestCompletion.Answered>> outcomes);
}
