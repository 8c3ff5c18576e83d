package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;

/**
 * Says what to do with a request that carries an operation key.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public sealed interface OperationDecision<A> {

    /**
     * Run it now; exactly one {@link OperationRegistry#complete} must follow.
     *
     * @param <A> the whole answer of a backend server
     */
    record Run<A>() implements OperationDecision<A> {}

    /**
     * It ended before; give the same outcome again.
     *
     * @param <A> the whole answer of a backend server
     * @param outcome the outcome
     */
    record Repeat<A>(OperationOutcome<A> outcome) implements OperationDecision<A> {}

    /**
     * It runs now; wait for its outcome.
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
     * The key names this home, but this home did not issue it in this form; nothing ran under it.
     *
     * @param <A> the whole answer of a backend server
     */
    record ForgedKey<A>() implements OperationDecision<A> {}

    /**
     * The key expired and no outcome is kept; it may have run, and never will from now on.
     *
     * @param <A> the whole answer of a backend server
     */
    record Expired<A>() implements OperationDecision<A> {}

    /**
     * The home keeps as many outcomes as it may; the operation did not run and may be sent again.
     *
     * @param <A> the whole answer of a backend server
     */
    record Full<A>() implements OperationDecision<A> {}

    /**
     * The home is stopping; the operation did not run here and this home will not run it.
     *
     * @param <A> the whole answer of a backend server
     */
    record Stopping<A>() implements OperationDecision<A> {}

    /**
     * Another instance is the home; pass the request on to it.
     *
     * @param <A> the whole answer of a backend server
     * @param home the run of that instance
     */
    record ForwardToHome<A>(Incarnation home) implements OperationDecision<A> {}

    /**
     * The home cannot be reached now; the operation may have run and may still run.
     *
     * @param <A> the whole answer of a backend server
     * @param home the run of that instance
     */
    record HomeUnreachable<A>(Incarnation home) implements OperationDecision<A> {}

    /**
     * The home is gone; the operation may have run, and no repeat will run it from now on.
     *
     * @param <A> the whole answer of a backend server
     * @param home the run of that instance
     */
    record HomeTerminated<A>(Incarnation home) implements OperationDecision<A> {}
}
