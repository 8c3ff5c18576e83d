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
 * What the caller interface needs of the rest of the daemon; safe for all threads.
 *
 * @since 0.1
 */
public interface CallerService {

    /**
     * Gives the configuration in force.
     *
     * @return the configuration
     */
    Configuration configuration();

    /**
     * Says why this instance takes no requests now.
     *
     * @return one sentence, or empty if it is ready
     */
    Optional<String> notReady();

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
     * Makes an operation key for a caller that is about to ask for a once-only operation.
     *
     * @param service the service
     * @return the key, or empty if no more can be given out now
     */
    Optional<String> operationKey(ServiceId service);

    /**
     * Steers a request to its end.
     *
     * @param request the request
     * @param keys the operation keys that the caller gave
     * @param listener takes the one end, on any thread
     */
    void submit(SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener);

    /**
     * Gives up a request because its caller went away.
     *
     * @param request the request
     */
    void cancel(RequestId request);

    /**
     * The operation keys of a request, of which at most one may be given.
     *
     * @param operationKey the key that a look-up gave
     * @param idempotencyKey the caller's own key
     * @param firstAttempt whether the caller says that it never sent the key before
     */
    record OperationKeys(
            Optional<String> operationKey, Optional<String> idempotencyKey, boolean firstAttempt) {}
}
