package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import java.util.function.BooleanSupplier;

/** A budget that is either there or not. */
final class FixedBudget implements RetryAllowance {

    private final BooleanSupplier mThere;

    FixedBudget(BooleanSupplier there) {
        mThere = there;
    }

    @Override
    public void firstAttempt(ServiceId service, long nowNanos) {}

    @Override
    public boolean tryRetry(ServiceId service, long nowNanos) {
        return mThere.getAsBoolean();
    }

    @Override
    public double left(ServiceId service, long nowNanos) {
        return mThere.getAsBoolean() ? 1 : 0;
    }
}
