package io.masticpond.core.region;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Verdict;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Verifies that retries stay within a tenth of the first attempts and never repeat a request that
 * may have run.
 */
final class RetryBudgetProperties {

    @Property(seed = "20261202")
    void neverExceedsShareOfFirstAttempts(@ForAll List<Boolean> retries) {
        RetryBudget budget = new RetryBudget(0.1, 3);
        for (boolean retry : retries) {
            if (retry) {
                budget.tryRetry(Verdict.DID_NOT_RUN, OperationKind.READ);
            } else {
                budget.recordFirstAttempt();
            }
            assertThat(budget.retries() <= 3 + budget.firstAttempts() * 0.1 + 1e-9).isTrue();
        }
    }

    @Example
    void retriesRequestThatMayHaveRunOnlyIfIdempotent() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        assertThat(budget.tryRetry(Verdict.MAY_HAVE_RUN, OperationKind.ONCE_ONLY)).isFalse();
        assertThat(budget.tryRetry(Verdict.MAY_HAVE_RUN, OperationKind.UNKNOWN)).isFalse();
        assertThat(budget.tryRetry(Verdict.RAN, OperationKind.READ)).isFalse();
        assertThat(budget.retries()).as("a refused retry consumes no budget").isEqualTo(0);
        assertThat(budget.tryRetry(Verdict.MAY_HAVE_RUN, OperationKind.IDEMPOTENT)).isTrue();
        assertThat(budget.tryRetry(Verdict.DID_NOT_RUN, OperationKind.ONCE_ONLY)).isTrue();
    }
}
