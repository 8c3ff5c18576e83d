package io.masticpond.daemon.spending;

import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.time.TimeSource;
import java.time.Instant;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Observations for a plan that add the amounts allotted in the current shifts, so that the plan can
 * state how much can still be spent under a lowered cap. All other observations are delegated.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class SpendingPlanObservations implements PlanObservations {

    private final SpendingService mSpending;
    private final TimeSource mTimeSource;
    private final PlanObservations mLoad;

    /**
     * Creates the observations.
     *
     * @param spending provides the accounts of this instance
     * @param timeSource the source of the current time
     * @param load the delegate for the observations of load
     */
    public SpendingPlanObservations(
            SpendingService spending, TimeSource timeSource, PlanObservations load) {
        mSpending = spending;
        mTimeSource = timeSource;
        mLoad = load;
    }

    @Override
    public OptionalDouble slotsInUse(ServiceId service, RegionId region) {
        return mLoad.slotsInUse(service, region);
    }

    @Override
    public OptionalDouble requestsPerSecond(ServiceId service, RegionId region) {
        return mLoad.requestsPerSecond(service, region);
    }

    @Override
    public OptionalLong allottedMicros(ServiceId service, String shift) {
        Instant now = mTimeSource.instant();
        return mSpending.views().stream()
                .filter(view -> view.key().service().equals(service))
                .filter(view -> view.shift().contains(now) && view.shift().name().equals(shift))
                .mapToLong(SpendingView::allottedMicros)
                .findFirst();
    }
}
