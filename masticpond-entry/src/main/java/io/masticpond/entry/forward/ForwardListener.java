package io.masticpond.entry.forward;

import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.entry.backend.BackendAnswer;
import java.util.List;

/**
 * Listener for the answer to a forwarded request and its end. Exactly one of {@link #onAnswered},
 * {@link #onRefused} and {@link #onUncertain} is called, unless the call is cancelled.
 *
 * @since 0.3
 */
public interface ForwardListener {

    /**
     * Called when the head of an answer has been received; the call may still fail.
     *
     * @param statements what backend servers stated in their answers to the request
     * @param sentNanos the monotonic time at which the request was forwarded, which is before any
     *     of these servers received it
     */
    void onStatements(List<AttributedStatement> statements, long sentNanos);

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
