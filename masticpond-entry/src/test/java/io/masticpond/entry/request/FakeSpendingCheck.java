package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.entry.log.SpendingInputs;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;

/** Fake {@link SpendingCheck} that allows a fixed number of attempts. */
final class FakeSpendingCheck implements SpendingCheck {

    int mRemaining;

    FakeSpendingCheck(int attempts) {
        mRemaining = attempts;
    }

    @Override
    public Either<SpendingRefusal, Charge> charge(ServiceId service, ZoneId zone) {
        if (mRemaining == 0) {
            SpendingInputs inputs = new SpendingInputs("morning", "exhausted", 1, 7, 7, 0, 7);
            return Either.left(new SpendingRefusal("spending-cap", Duration.ofMinutes(1), inputs));
        }
        mRemaining--;
        return Either.right(new Charge(service, new ShiftId("morning"), 1));
    }

    @Override
    public void refund(Charge charge) {
        mRemaining++;
    }

    @Override
    public List<SpendingView> views() {
        return List.of();
    }

    @Override
    public void start() {}

    @Override
    public void stop() {}

    @Override
    public boolean isStopped() {
        return true;
    }
}
