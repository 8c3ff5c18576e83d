package io.masticpond.entry.forward;

import io.masticpond.entry.backend.BackendAnswer;

/**
 * Listener for the end of a forwarded request. Exactly one method is called, unless the call is
 * cancelled.
 *
 * @since 0.3
 */
public interface ForwardListener {

    /**
     * Called with the complete answer of a backend server.
     *
     * @param answer the answer; the listener must release its body
     */
    void onAnswered(BackendAnswer answer);

    /**
     * Called if the request did not run and will not run.
     *
     * @param refusal the refusal
     */
    void onRefused(ForwardRefusal refusal);

    /**
     * Called if there is no answer and the request may have run.
     *
     * @param cause the cause, from a fixed set of values
     */
    void onUncertain(String cause);
}
