package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;

/**
 * Decision about a request that carries an operation key.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public sealed interface OperationDecision<A> {

    /**
     * The operation must run now; exactly one call of {@link OperationRegistry#complete} must
     * follow.
     *
     * @param <A> the whole answer of a backend server
     */
    record Run<A>() implements OperationDecision<A> {}

    /**
     * The operation has already ended; the same outcome must be returned.
     *
     * @param <A> the whole answer of a backend server
     * @param outcome the outcome
     */
    record Repeat<A>(OperationOutcome<A> outcome) implements OperationDecision<A> {}

    /**
     * The operation is in progress; the request must wait for its outcome.
     *
     * @param <A> the whole answer of a backend server
     */
    record InProgress<A>() implements OperationDecision<A> {}

    /**
     * The key was used for a request with another method, path or body; this request did not run.
     *
     * @param <A> the whole answer of a backend server
     */
    record WrongRequest<A>() implements OperationDecision<A> {}

    /**
     * The key names this home, but this home did not issue it in this form; no operation ran under
     * it.
     *
     * @param <A> the whole answer of a backend server
     */
    record ForgedKey<A>() implements OperationDecision<A> {}

    /**
     * The key has expired and no outcome is retained; the operation may have run and will never run
     * from now on.
     *
     * @param <A> the whole answer of a backend server
     */
    record Expired<A>() implements OperationDecision<A> {}

    /**
     * The home retains the maximum number of outcomes; the operation did not run and may be sent
     * again.
     *
     * @param <A> the whole answer of a backend server
     */
    record Full<A>() implements OperationDecision<A> {}

    /**
     * The home is stopping; the operation did not run here and will not be run by this home.
     *
     * @param <A> the whole answer of a backend server
     */
    record Stopping<A>() implements OperationDecision<A> {}

    /**
     * Another instance is the home; the request must be forwarded to it.
     *
     * @param <A> the whole answer of a backend server
     * @param home the incarnation of that instance
     */
    record ForwardToHome<A>(Incarnation home) implements OperationDecision<A> {}

    /**
     * The home is currently unreachable; the operation may have run and may still run.
     *
     * @param <A> the whole answer of a backend server
     * @param home the incarnation of that instance
     */
    record HomeUnreachable<A>(Incarnation home) implements OperationDecision<A> {}

    /**
     * The home has terminated; the operation may have run, and no repeated request will run it from
     * now on.
     *
     * @param <A> the whole answer of a backend server
     * @param home the incarnation of that instance
     */
    record HomeTerminated<A>(Incarnation home) implements OperationDecision<A> {}
}
