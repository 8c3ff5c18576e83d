package io.masticpond.daemon.caller;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Strategy interface through which the caller interface uses the rest of the daemon.
 * Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface CallerService {

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    Configuration configuration();

    /**
     * Returns the reason why this instance accepts no requests at present.
     *
     * @return the reason as one sentence, or empty if the instance is ready
     */
    Optional<String> unreadyReason();

    /**
     * Decides which instances a client should use.
     *
     * @param service the service
     * @param clientAddress the address of the client
     * @param seenVersion the configuration version that the caller has seen, or 0
     * @return the decision
     */
    LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion);

    /**
     * Issues an operation key to a caller that is about to request a once-only operation.
     *
     * @param service the service
     * @return the key, or empty if none can be issued at present
     */
    Optional<String> operationKey(ServiceId service);

    /**
     * Steers a request until it completes.
     *
     * @param request the request
     * @param keys the operation keys that the caller sent
     * @param listener the listener of the completion, called exactly once and on any thread
     */
    void submit(SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener);

    /**
     * Cancels a request whose caller has disconnected.
     *
     * @param request the request
     */
    void cancel(RequestId request);

    /**
     * Operation keys of a request, of which at most one may be present.
     *
     * @param operationKey the key that a look-up returned
     * @param idempotencyKey the caller's own key
     * @param firstAttempt whether the caller states that it has not sent the key before
     */
    record OperationKeys(
            Optional<String> operationKey, Optional<String> idempotencyKey, boolean firstAttempt) {}
}
