package io.masticpond.daemon.operation;

import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.function.Consumer;

/**
 * Runs an operation that the guard allowed to run.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface OnceOnlyRunner {

    /**
     * Steers a request to its end. A refusal that says that it did not run must be true of all
     * attempts together, now and later.
     *
     * @param request the request, with its operation id
     * @param listener takes the one end, on the steering duty
     */
    void run(SteeredRequest request, Consumer<RequestCompletion> listener);
}
