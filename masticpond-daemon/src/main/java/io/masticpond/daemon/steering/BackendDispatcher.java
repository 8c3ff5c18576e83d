package io.masticpond.daemon.steering;

import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.configuration.BackendServerSpecification;
import java.util.function.Consumer;

/**
 * Strategy interface for sending requests to backend servers, implemented by the HTTP client.
 *
 * @since 0.1
 */
public interface BackendDispatcher {

    /**
     * Sends a request once.
     *
     * @param request the request
     * @param server the backend server
     * @param listener receives the result of the attempt exactly once, on any thread
     * @return a handle that cancels the attempt; the listener is notified even then
     */
    Attempt dispatch(
            SteeredRequest request,
            BackendServerSpecification server,
            Consumer<AttemptResult> listener);

    /** Handle of an attempt in flight. */
    interface Attempt {
        /**
         * Cancels the attempt and closes the connection, by which the backend server notices it.
         */
        void cancel();
    }

    /**
     * Result of an attempt.
     *
     * @param outcome the outcome of the attempt
     * @param completion the completion to report to the caller
     * @param leaving whether the backend server announced that it is leaving
     */
    record AttemptResult(AttemptOutcome outcome, RequestCompletion completion, boolean leaving) {}
}
