package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.RefusalCause;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Strategy interface for forwarding requests to other instances: to their admitter side, or
 * uncharged to their entry side. Implemented on top of the links between instances.
 *
 * @since 0.1
 */
public interface RemoteAdmitter {

    /**
     * Forwards a request to an admitter once.
     *
     * @param to the instance of the admitter
     * @param shard the shard that is to admit the request
     * @param request the request
     * @param listener receives the result, on any thread
     */
    void forward(
            InstanceId to, Shard shard, SteeredRequest request, Consumer<ForwardResult> listener);

    /**
     * Forwards an uncharged request once to an instance, which steers it like a request of its own
     * callers and charges it to its own allotment.
     *
     * @param to the instance
     * @param request the request, which has not been charged
     * @param listener receives the result, on any thread
     */
    void steer(InstanceId to, SteeredRequest request, Consumer<ForwardResult> listener);

    /**
     * Requests an instance to cancel a request. The cancellation itself is not acknowledged.
     *
     * @param to the instance
     * @param request the request
     */
    void cancel(InstanceId to, RequestId request);

    /** Result of a forward. */
    sealed interface ForwardResult {

        /**
         * The instance completed the request.
         *
         * @param completion the completion
         * @param headroom the admitter's headroom, if it reported it
         */
        record Ended(RequestCompletion completion, Optional<Headroom> headroom)
                implements ForwardResult {}

        /**
         * No byte of the request reached the instance, so it did not run.
         *
         * @param reason the reason, as one sentence
         */
        record NotSent(String reason) implements ForwardResult {}

        /**
         * The link broke or the request timed out after it had been sent, so it may have run.
         *
         * @param cause the cause to report to the caller
         * @param reason the reason, as one sentence
         */
        record Lost(RefusalCause cause, String reason) implements ForwardResult {}
    }
}
