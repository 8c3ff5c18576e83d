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

/** Shows the accounts of the shifts that run now in the metrics; belongs to the steering duty. */
final class SpendingObserver implements Consumer<List<SpendingView>> {

    private final SpendingMetrics mMetrics;
    private final TimeSource mTimeSource;
    private final Map<LedgerKey, Long> mCounted = new HashMap<>();

    SpendingObserver(SpendingMetrics metrics, TimeSource timeSource) {
        mMetrics = metrics;
        mTimeSource = timeSource;
    }

    @Override
    public void accept(List<SpendingView> views) {
        Instant now = mTimeSource.instant();
        mCounted.keySet().retainAll(views.stream().map(SpendingView::key).toList());
        for (SpendingView view : views) {
            count(view);
            if (view.shift().contains(now)) {
                show(view, now);
            }
        }
    }

    /** Counts what was spent since the last time; a refund since then is taken off the next. */
    private void count(SpendingView view) {
        long counted = mCounted.getOrDefault(view.key(), 0L);
        if (view.spentMicros() > counted) {
            mMetrics.recordCharge(view.key().service(), view.spentMicros() - counted);
            mCounted.put(view.key(), view.spentMicros());
        }
    }

    private void show(SpendingView view, Instant now) {
        mMetrics.updateHeld(view.key().service(), view.availableMicros());
        mMetrics.updateLedger(
                view.key().service(),
                view.capMicros(),
                view.allottedMicros(),
                view.fleetForecast(now).predictedMicros());
    }
}
