package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import java.util.function.BooleanSupplier;

/** Fake {@link RetryAllowance} whose budget is either available or used up. */
final class FixedBudget implements RetryAllowance {

    private final BooleanSupplier mIsAvailable;

    FixedBudget(BooleanSupplier isAvailable) {
        mIsAvailable = isAvailable;
    }

    @Override
    public void recordFirstAttempt(ServiceId service, long nowNanos) {}

    @Override
    public boolean tryRetry(ServiceId service, long nowNanos) {
        return mIsAvailable.getAsBoolean();
    }

    @Override
    public double remainingRetries(ServiceId service, long nowNanos) {
        return mIsAvailable.getAsBoolean() ? 1 : 0;
    }
}
