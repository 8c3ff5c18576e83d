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
 * Chooses the nearest region with headroom, and a cheaper one where that is fast enough.
 *
 * <p>A request spills to the next region once its wait for a slot would cost more than the
 * distance. What cannot be taken anywhere in time is refused here, the lowest priority first. See
 * docs/design/region-selection.md.
 *
 * @since 0.1
 */
public final class DefaultRegionSelector implements RegionSelector {

    private final RegionId mOwnRegion;
    private final TimeSource mTimeSource;
    private final RegionSelectorParameters mKnobs;
    private final Map<RegionId, LinkShare> mLinks = new LinkedHashMap<>();
    private Map<ServiceId, Map<RegionId, RegionView>> mServices = new LinkedHashMap<>();
    private int mInstancesInRegion = 1;
    private int mInstancesInAll = 1;

    /**
     * Starts with a configuration and with this instance as the only one.
     *
     * @param ownRegion the region of this instance
     * @param configuration the configuration in force
     * @param timeSource the clocks
     * @param knobs the adjustable numbers
     */
    public DefaultRegionSelector(
            RegionId ownRegion,
            Configuration configuration,
            TimeSource timeSource,
            RegionSelectorParameters knobs) {
        mOwnRegion = Assert.notNull(ownRegion, "A region id");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mKnobs = Assert.notNull(knobs, "The knobs of a region selector");
        configure(configuration);
    }

    /**
     * Takes a configuration in place of the one before. What is known of a region that stays is
     * kept.
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
            ServiceRegion place = place(configuration, service, region.id());
            if (place.slots() == 0) {
                continue;
            }
            LinkShare link = mLinks.get(region.id());
            RegionView view = before.get(region.id());
            if (view == null) {
                view = new RegionView(place, mKnobs, link, now);
            }
            view.configure(place, link);
            views.put(region.id(), view);
        }
        return views;
    }

    private ServiceRegion place(
            Configuration configuration, ServiceSpecification service, RegionId region) {
        int slots =
                configuration.backendServers(service.id(), region).stream()
                        .filter(server -> !server.leaving())
                        .mapToInt(BackendServerSpecification::slots)
                        .sum();
        boolean own = region.equals(mOwnRegion);
        long oneWay =
                findLink(configuration, region)
                        .map(link -> Duration.ofNanos(link.oneWayMicros() * 1000))
                        .orElse(mKnobs.defaultOneWay())
                        .toNanos();
        return new ServiceRegion(
                region, own, slots, service.priceMicros(region), own ? 0 : 2 * oneWay);
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
                .filter(link -> link.joins(mOwnRegion, region))
                .findFirst();
    }

    /**
     * Takes how many instances there are, among which links and static shares are divided.
     *
     * @param inRegion the instances of this region that are not known to be gone, with this one
     * @param inAll the instances of all regions that are not known to be gone, with this one
     */
    public void setInstanceCounts(int inRegion, int inAll) {
        Assert.positive(inRegion, "A count of instances");
        Assert.isTrue(inAll >= inRegion, "All instances must be at least %d.", inRegion);
        mInstancesInRegion = inRegion;
        mInstancesInAll = inAll;
        mLinks.values().forEach(link -> link.setSharers(inRegion));
        mServices.values().forEach(views -> views.values().forEach(v -> v.setSenders(inAll)));
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
                options.add(view.weigh(request, now));
            }
        }
        RegionOption best = best(options, request.deadlineNanos() - now);
        if (best == null) {
            return Either.left(RegionRefusals.explain(options, views.isEmpty()));
        }
        best.view().chosen(request.id(), now);
        return Either.right(best.view().region());
    }

    private RegionOption best(List<RegionOption> options, long remainingNanos) {
        RegionOption fastest = null;
        for (RegionOption option : options) {
            if (option.isOpen() && (fastest == null || option.fasterThan(fastest))) {
                fastest = option;
            }
        }
        RegionOption best = fastest;
        for (RegionOption option : options) {
            if (option.isOpen()
                    && drawsByPrice(option, remainingNanos)
                    && option.cheaperThan(best)) {
                best = option;
            }
        }
        return best;
    }

    private boolean drawsByPrice(RegionOption option, long remainingNanos) {
        return option.hasSlotReserve()
                && !option.heldDown()
                && option.totalNanos() <= remainingNanos * mKnobs.fastEnoughShare();
    }

    @Override
    public void observe(ServiceId service, RegionId region, Headroom headroom) {
        view(service, region)
                .ifPresent(view -> view.observe(headroom, mTimeSource.monotonicNanos()));
    }

    @Override
    public void ended(RequestHead request, RegionId region, RegionAttemptOutcome end) {
        view(request.service(), region)
                .ifPresent(view -> view.ended(request.id(), end, mTimeSource.monotonicNanos()));
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
     * Tells what decisions for a region rest on now.
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
     * Lists what is known of each region for each service, for metrics.
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
