package io.masticpond.entry.wiring;

import io.masticpond.core.body.BodyBudgetListener;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.entry.log.BodyChange;
import io.masticpond.entry.log.DecisionLog;

/** Listener that logs when the body budget is exhausted and when it is free again. */
record BodyBudgetLog(DecisionLog log) implements BodyBudgetListener {

    @Override
    public void onExhausted(BodyDirection direction, long heldBytes, long limitBytes) {
        log.viewChanged(new BodyChange.Budget(direction, true, heldBytes, limitBytes));
    }

    @Override
    public void onFree(BodyDirection direction, long heldBytes, long limitBytes) {
        log.viewChanged(new BodyChange.Budget(direction, false, heldBytes, limitBytes));
    }
}
