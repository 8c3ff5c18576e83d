package io.masticpond.daemon.operation;

import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.function.Consumer;

/**
 * Strategy interface for running an operation that the guard has allowed.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface OnceOnlyRunner {

    /**
     * Runs a request to completion. A refusal with the verdict "did not run" must hold for all
     * attempts of the operation, now and later.
     *
     * @param request the request, with its operation id
     * @param listener receives the completion exactly once, on the steering thread
     */
    void run(SteeredRequest request, Consumer<RequestCompletion> listener);
}
