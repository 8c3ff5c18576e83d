package io.masticpond.core.operation;

import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;

/**
 * Outcome of an operation at its home.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public sealed interface OperationOutcome<A> {

    /**
     * Returns the verdict on whether the operation ran.
     *
     * @return the verdict
     */
    Verdict verdict();

    /**
     * A backend server answered, and the whole answer is retained.
     *
     * @param <A> the whole answer of a backend server
     * @param answer the answer
     */
    record Answered<A>(A answer) implements OperationOutcome<A> {

        /** Validates the answer. */
        public Answered {
            Assert.notNull(answer, "An answer");
        }

        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }
    }

    /**
     * There is no answer, or it is too large to be retained.
     *
     * @param <A> the whole answer of a backend server
     * @param refusal the reason
     */
    record Refused<A>(Refusal refusal) implements OperationOutcome<A> {

        /** Validates the refusal. */
        public Refused {
            Assert.notNull(refusal, "A refusal");
        }

        @Override
        public Verdict verdict() {
            return refusal.verdict();
        }
    }
}
