package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.LinkSpecification;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Default implementation of {@link RegionSelector} that chooses the nearest region with headroom,
 * or a cheaper region where that is fast enough.
 *
 * <p>A request spills to the next region once its wait for a slot would cost more than the
 * distance. A request that no region can serve in time is refused here, the lowest priority first.
 * See docs/design/region-selection.md.
 *
 * @since 0.1
 */
public final class DefaultRegionSelector implements RegionSelector {

    private final RegionId mOwnRegion;
    private final TimeSource mTimeSource;
    private final RegionSelectorParameters mParameters;
    private final Map<RegionId, LinkShare> mLinks = new LinkedHashMap<>();
    private Map<ServiceId, Map<RegionId, RegionView>> mServices = new LinkedHashMap<>();
    private int mInstancesInRegion = 1;
    private int mInstancesInAll = 1;

    /**
     * Creates a selector with a configuration and with this instance as the only one.
     *
     * @param ownRegion the region of this instance
     * @param configuration the configuration in force
     * @param timeSource the source of time
     * @param parameters the adjustable parameters
     */
    public DefaultRegionSelector(
            RegionId ownRegion,
            Configuration configuration,
            TimeSource timeSource,
            RegionSelectorParameters parameters) {
        mOwnRegion = Assert.notNull(ownRegion, "A region id");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mParameters = Assert.notNull(parameters, "The parameters of a region selector");
        configure(configuration);
    }

    /**
     * Replaces the configuration. The state of a region that remains configured is kept.
     *
     * @param configuration the configuration in force from now on
     */
    public void configure(Configuration configuration) {
        Assert.notNull(configuration, "A configuration");
        long now = mTimeSource.monotonicNanos();
        Map<RegionId, LinkShare> linksBefore = Map.copyOf(mLinks);
        mLinks.clear();
        for (RegionSpecification region : configuration.content().regions()) {
            LinkShare before = linksBefore.get(region.id());
            mLinks.put(region.id(), link(configuration, region.id(), before, now));
        }
        Map<ServiceId, Map<RegionId, RegionView>> services = new LinkedHashMap<>();
        for (ServiceSpecification service : configuration.content().services()) {
            services.put(service.id(), views(configuration, service, now));
        }
        mServices = services;
        setInstanceCounts(mInstancesInRegion, mInstancesInAll);
    }

    private Map<RegionId, RegionView> views(
            Configuration configuration, ServiceSpecification service, long now) {
        Map<RegionId, RegionView> before = mServices.getOrDefault(service.id(), Map.of());
        Map<RegionId, RegionView> views = new LinkedHashMap<>();
        for (RegionSpecification region : configuration.content().regions()) {
            ServiceRegion serviceRegion = serviceRegion(configuration, service, region.id());
            if (serviceRegion.slots() == 0) {
                continue;
            }
            LinkShare link = mLinks.get(region.id());
            RegionView view = before.get(region.id());
            if (view == null) {
                view = new RegionView(serviceRegion, mParameters, link, now);
            }
            view.configure(serviceRegion, link);
            views.put(region.id(), view);
        }
        return views;
    }

    private ServiceRegion serviceRegion(
            Configuration configuration, ServiceSpecification service, RegionId region) {
        int slots =
                configuration.backendServers(service.id(), region).stream()
                        .filter(server -> !server.leaving())
                        .mapToInt(BackendServerSpecification::slots)
                        .sum();
        boolean isOwn = region.equals(mOwnRegion);
        long oneWayNanos =
                findLink(configuration, region)
                        .map(link -> Duration.ofNanos(link.oneWayMicros() * 1000))
                        .orElse(mParameters.defaultOneWay())
                        .toNanos();
        return new ServiceRegion(
                region, isOwn, slots, service.priceMicros(region), isOwn ? 0 : 2 * oneWayNanos);
    }

    private LinkShare link(
            Configuration configuration, RegionId region, LinkShare before, long now) {
        long limit =
                findLink(configuration, region)
                        .map(LinkSpecification::requestsPerSecond)
                        .orElse(0L);
        if (before != null && before.hasLimit(limit)) {
            return before;
        }
        return new LinkShare(limit, now);
    }

    private Optional<LinkSpecification> findLink(Configuration configuration, RegionId region) {
        return configuration.content().links().stream()
                .filter(link -> link.connects(mOwnRegion, region))
                .findFirst();
    }

    /**
     * Sets the numbers of instances among which links and static shares are divided.
     *
     * @param inRegion the number of instances of this region that are not known to have terminated,
     *     including this one
     * @param inAllRegions the number of instances of all regions that are not known to have
     *     terminated, including this one
     */
    public void setInstanceCounts(int inRegion, int inAllRegions) {
        Assert.positive(inRegion, "A count of instances");
        Assert.isTrue(inAllRegions >= inRegion, "All instances must be at least %d.", inRegion);
        mInstancesInRegion = inRegion;
        mInstancesInAll = inAllRegions;
        mLinks.values().forEach(link -> link.setInstances(inRegion));
        mServices
                .values()
                .forEach(views -> views.values().forEach(v -> v.setSenders(inAllRegions)));
    }

    @Override
    public Either<Refusal, RegionId> select(RequestHead request, Set<RegionId> tried) {
        long now = mTimeSource.monotonicNanos();
        Map<RegionId, RegionView> views = mServices.get(request.service());
        if (views == null) {
            String detail = "There is no service " + request.service() + ".";
            return Either.left(Refusal.didNotRun(RefusalCause.NOT_FOUND, detail));
        }
        if (request.deadlineNanos() - now <= 0) {
            String detail = "The deadline passed before a region was chosen.";
            return Either.left(Refusal.didNotRun(RefusalCause.DEADLINE, detail));
        }
        List<RegionOption> options = new ArrayList<>(views.size());
        for (RegionView view : views.values()) {
            if (!tried.contains(view.region())) {
                options.add(view.evaluate(request, now));
            }
        }
        RegionOption best = best(options, request.deadlineNanos() - now);
        if (best == null) {
            return Either.left(RegionRefusals.explain(options, views.isEmpty()));
        }
        best.view().recordChoice(request.id(), now);
        return Either.right(best.view().region());
    }

    private RegionOption best(List<RegionOption> options, long remainingNanos) {
        RegionOption fastest = null;
        for (RegionOption option : options) {
            if (option.isAvailable() && (fastest == null || option.isFasterThan(fastest))) {
                fastest = option;
            }
        }
        RegionOption best = fastest;
        for (RegionOption option : options) {
            if (option.isAvailable()
                    && isEligibleByPrice(option, remainingNanos)
                    && option.isCheaperThan(best)) {
                best = option;
            }
        }
        return best;
    }

    private boolean isEligibleByPrice(RegionOption option, long remainingNanos) {
        return option.hasSlotReserve()
                && !option.isHeldDown()
                && option.totalNanos() <= remainingNanos * mParameters.fastEnoughShare();
    }

    @Override
    public void observe(ServiceId service, RegionId region, Headroom headroom) {
        view(service, region)
                .ifPresent(view -> view.observe(headroom, mTimeSource.monotonicNanos()));
    }

    @Override
    public void recordOutcome(RequestHead request, RegionId region, RegionAttemptOutcome outcome) {
        view(request.service(), region)
                .ifPresent(
                        view ->
                                view.recordOutcome(
                                        request.id(), outcome, mTimeSource.monotonicNanos()));
    }

    @Override
    public void setReachable(ServiceId service, RegionId region, boolean reachable) {
        view(service, region)
                .ifPresent(view -> view.setReachable(reachable, mTimeSource.monotonicNanos()));
    }

    private Optional<RegionView> view(ServiceId service, RegionId region) {
        return Optional.ofNullable(mServices.getOrDefault(service, Map.of()).get(region));
    }

    /**
     * Returns the step of degradation that applies to decisions for a region now.
     *
     * @param service the service
     * @param region the region
     * @return the step, {@link DegradationStep#FAIR_SHARE} if nothing is known of the region
     */
    public DegradationStep step(ServiceId service, RegionId region) {
        return view(service, region)
                .map(view -> view.step(mTimeSource.monotonicNanos()))
                .orElse(DegradationStep.FAIR_SHARE);
    }

    /**
     * Returns the status of each region for each service, for metrics.
     *
     * @return one entry for each service and region with backend servers
     */
    public List<RegionStatus> status() {
        long now = mTimeSource.monotonicNanos();
        List<RegionStatus> statuses = new ArrayList<>();
        mServices.forEach(
                (service, views) ->
                        views.values().forEach(view -> statuses.add(view.status(service, now))));
        return statuses;
    }
}
