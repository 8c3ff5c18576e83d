package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.region.DefaultRegionSelector;
import io.masticpond.core.region.RegionAttemptOutcome;
import io.masticpond.core.region.RegionSelector;
import io.masticpond.core.region.RegionSelectorParameters;
import io.masticpond.core.region.RegionStatus;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.TimeSource;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Region selector that delegates to a {@link DefaultRegionSelector} once a configuration defines
 * the region of this instance.
 *
 * <p>Confined to the steering thread.
 *
 * @since 0.1
 */
public final class ConfiguredRegionSelector implements RegionSelector {

    private final ZoneId mZone;
    private final TimeSource mTimeSource;
    private final RegionSelectorParameters mParameters;
    private Optional<RegionId> mRegion = Optional.empty();
    private DefaultRegionSelector mSelector;

    /**
     * Creates a selector that refuses all requests until it is configured.
     *
     * @param zone the availability zone of this instance
     * @param timeSource the source of the current time
     * @param parameters the parameters of the selection
     */
    public ConfiguredRegionSelector(
            ZoneId zone, TimeSource timeSource, RegionSelectorParameters parameters) {
        mZone = zone;
        mTimeSource = timeSource;
        mParameters = parameters;
    }

    /**
     * Applies the configuration in force. Ignored if the availability zone of this instance is in
     * no region of it.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        Optional<RegionId> region = configuration.regionOf(mZone);
        if (region.isEmpty()) {
            return;
        }
        if (mSelector == null || !region.equals(mRegion)) {
            mRegion = region;
            mSelector =
                    new DefaultRegionSelector(
                            region.get(), configuration, mTimeSource, mParameters);
            return;
        }
        mSelector.configure(configuration);
    }

    /**
     * Updates the number of instances that accept requests from callers.
     *
     * @param inRegion the number of such instances in the region of this instance
     * @param inAll the number of such instances in all regions
     */
    public void updateInstanceCounts(int inRegion, int inAll) {
        if (mSelector != null) {
            mSelector.setInstanceCounts(inRegion, inAll);
        }
    }

    /**
     * Returns the region of this instance.
     *
     * @return the region, or empty before the first configuration that defines it
     */
    public Optional<RegionId> region() {
        return mRegion;
    }

    /**
     * Returns the current status of each region.
     *
     * @return one entry for each service and region
     */
    public List<RegionStatus> status() {
        return mSelector == null ? List.of() : mSelector.status();
    }

    @Override
    public Either<Refusal, RegionId> select(RequestHead request, Set<RegionId> tried) {
        if (mSelector == null) {
            return Either.left(
                    Refusal.didNotRun(
                            RefusalCause.NOT_READY,
                            "The availability zone of this instance is in no region."));
        }
        return mSelector.select(request, tried);
    }

    @Override
    public void observe(ServiceId service, RegionId region, Headroom headroom) {
        if (mSelector != null) {
            mSelector.observe(service, region, headroom);
        }
    }

    @Override
    public void recordOutcome(RequestHead request, RegionId region, RegionAttemptOutcome outcome) {
        if (mSelector != null) {
            mSelector.recordOutcome(request, region, outcome);
        }
    }

    @Override
    public void setReachable(ServiceId service, RegionId region, boolean reachable) {
        if (mSelector != null) {
            mSelector.setReachable(service, region, reachable);
        }
    }
}
