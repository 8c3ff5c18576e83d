package io.masticpond.daemon.steering;

import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.configuration.BackendServerSpecification;
import java.util.function.Consumer;

/**
 * Sends requests to backend servers; the edge implements it.
 *
 * @since 0.1
 */
public interface BackendDispatcher {

    /**
     * Sends a request once.
     *
     * @param request the request
     * @param server the backend server
     * @param listener takes the one end of the attempt, on any thread
     * @return a handle that cancels the attempt; the listener is told all the same
     */
    Attempt dispatch(
            SteeredRequest request,
            BackendServerSpecification server,
            Consumer<AttemptResult> listener);

    /** An attempt in flight. */
    interface Attempt {
        /** Gives up the attempt and tells the backend server by closing the connection. */
        void cancel();
    }

    /**
     * The end of an attempt.
     *
     * @param outcome how it ended
     * @param completion what the caller is told
     * @param leaving whether the backend server said that it is leaving
     */
    record AttemptResult(AttemptOutcome outcome, RequestCompletion completion, boolean leaving) {}
}
