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

/** Pays for so many attempts. */
final class FakeSpendingCheck implements SpendingCheck {

    int mLeft;

    FakeSpendingCheck(int attempts) {
        mLeft = attempts;
    }

    @Override
    public Either<SpendingRefusal, Charge> charge(ServiceId service, ZoneId zone) {
        if (mLeft == 0) {
            SpendingInputs inputs = new SpendingInputs("morning", "exhausted", 1, 7, 7, 0, 7);
            return Either.left(new SpendingRefusal("spending-cap", Duration.ofMinutes(1), inputs));
        }
        mLeft--;
        return Either.right(new Charge(service, new ShiftId("morning"), 1));
    }

    @Override
    public void refund(Charge charge) {
        mLeft++;
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
