package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.RefusalCause;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Forwards requests to the admitters at other instances, or whole to their entry sides; the edge
 * implements it.
 *
 * @since 0.1
 */
public interface RemoteAdmitter {

    /**
     * Forwards a request once.
     *
     * @param to the instance of the admitter
     * @param shard the shard that it is asked to admit to
     * @param request the request
     * @param listener takes the one result, on any thread
     */
    void forward(
            InstanceId to, Shard shard, SteeredRequest request, Consumer<ForwardResult> listener);

    /**
     * Asks an instance once to steer a request as one of its own callers', and to pay for it.
     *
     * @param to the instance
     * @param request the request, which nobody has paid for
     * @param listener takes the one result, on any thread
     */
    void steer(InstanceId to, SteeredRequest request, Consumer<ForwardResult> listener);

    /**
     * Asks an instance to give up a request; there is no answer of its own.
     *
     * @param to the instance
     * @param request the request
     */
    void cancel(InstanceId to, RequestId request);

    /** The result of a forward. */
    sealed interface ForwardResult {

        /**
         * The admitter ended the request.
         *
         * @param completion the end
         * @param headroom the admitter's counts, if it told them
         */
        record Ended(RequestCompletion completion, Optional<Headroom> headroom)
                implements ForwardResult {}

        /**
         * No byte of the request reached the instance, so it did not run.
         *
         * @param reason one sentence
         */
        record NotSent(String reason) implements ForwardResult {}

        /**
         * The link broke or the time ran out after the request had left; it may have run.
         *
         * @param cause what the caller is told
         * @param reason one sentence
         */
        record Lost(RefusalCause cause, String reason) implements ForwardResult {}
    }
}
