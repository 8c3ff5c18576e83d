package io.masticpond.entry.request;

import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.RetryDenial;
import java.util.Optional;

/** Decision whether one request may be sent once more, which records why it may not. */
final class RequestRetries {

    private final RequestFlow mFlow;
    private final AdmittedRequest mAdmitted;
    private final RequestRecord mFacts;
    private final CrashCheck mCrashCheck;

    RequestRetries(RequestFlow flow, AdmittedRequest admitted, CrashCheck crashCheck) {
        mFlow = flow;
        mAdmitted = admitted;
        mFacts = admitted.facts();
        mCrashCheck = crashCheck;
    }

    /** Takes one retry out of the budget, unless the request must not run twice. */
    boolean tryRepeat(boolean mayHaveRun, int attempts) {
        boolean isIdempotent = mAdmitted.caller().route().idempotent();
        if (mayHaveRun && !isIdempotent) {
            return deny(RetryDenial.ONCE_ONLY);
        }
        if (mayHaveRun && mCrashCheck.isSuspected()) {
            return deny(RetryDenial.CRASH_SUSPECTED);
        }
        return tryAcquire(attempts);
    }

    /** Takes one retry out of the budget. */
    boolean tryAcquire(int attempts) {
        long now = mFlow.nowNanos();
        Optional<RetryDenial> denial = denial(attempts, now);
        if (denial.isPresent()) {
            return deny(denial.get());
        }
        return mFlow.retries().tryRetry(mAdmitted.service(), now) || deny(RetryDenial.BUDGET);
    }

    private Optional<RetryDenial> denial(int attempts, long now) {
        if (attempts >= mAdmitted.maximumAttempts()) {
            return Optional.of(RetryDenial.ATTEMPTS);
        }
        return mAdmitted.times().leftNanos(now) > 0
                ? Optional.empty()
                : Optional.of(RetryDenial.DEADLINE);
    }

    private boolean deny(RetryDenial denial) {
        mFacts.retryDenied(denial);
        return false;
    }
}
