package io.masticpond.daemon.spending;

import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.metrics.SpendingMetrics;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Consumer that updates the metrics from the accounts of the current shifts. Confined to the
 * steering thread.
 */
final class SpendingObserver implements Consumer<List<SpendingView>> {

    private final SpendingMetrics mMetrics;
    private final TimeSource mTimeSource;
    private final Map<LedgerKey, Long> mRecordedMicros = new HashMap<>();

    SpendingObserver(SpendingMetrics metrics, TimeSource timeSource) {
        mMetrics = metrics;
        mTimeSource = timeSource;
    }

    @Override
    public void accept(List<SpendingView> views) {
        Instant now = mTimeSource.instant();
        mRecordedMicros.keySet().retainAll(views.stream().map(SpendingView::key).toList());
        for (SpendingView view : views) {
            recordCharges(view);
            if (view.shift().contains(now)) {
                updateGauges(view, now);
            }
        }
    }

    /**
     * Records the amount spent since the last call. A refund in between is deducted from a later
     * amount.
     */
    private void recordCharges(SpendingView view) {
        long recordedMicros = mRecordedMicros.getOrDefault(view.key(), 0L);
        if (view.spentMicros() > recordedMicros) {
            mMetrics.recordCharge(view.key().service(), view.spentMicros() - recordedMicros);
            mRecordedMicros.put(view.key(), view.spentMicros());
        }
    }

    private void updateGauges(SpendingView view, Instant now) {
        mMetrics.updateHeld(view.key().service(), view.availableMicros());
        mMetrics.updateLedger(
                view.key().service(),
                view.capMicros(),
                view.allottedMicros(),
                view.fleetForecast(now).predictedMicros());
    }
}
