package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Predictor of the load and spending of a planned content, which also collects warnings for the
 * operator.
 *
 * <p>The number of slots in use is taken from observations. A region without observations is
 * assumed to use the fraction {@link #ASSUMED_USE} of its slots. Use that exceeds a region's slots
 * is distributed among the other regions in proportion to their free slots.
 */
final class PlanPredictor {

    /** The fraction of slots that is assumed to be in use without an observation. */
    static final double ASSUMED_USE = 0.7;

    /** The fraction of slots in use above which a warning is added for a region. */
    private static final double HIGH_USE_FRACTION = 0.9;

    private static final long DAY_SECONDS = Duration.ofDays(1).toSeconds();

    private final Configuration mBefore;
    private final Configuration mAfter;
    private final PlanObservations mObservations;
    private final List<String> mWarnings = new ArrayList<>();

    PlanPredictor(Configuration before, Configuration after, PlanObservations observations) {
        mBefore = before;
        mAfter = after;
        mObservations = observations;
    }

    List<PredictedLoad> loads() {
        List<PredictedLoad> loads = new ArrayList<>();
        for (ServiceSpecification service : mAfter.content().services()) {
            loads.addAll(loadsOf(service.id()));
        }
        return loads;
    }

    List<PredictedSpending> spendings() {
        List<PredictedSpending> spendings = new ArrayList<>();
        for (ServiceSpecification service : mAfter.content().services()) {
            service.spending()
                    .ifPresent(
                            spending ->
                                    spending.shifts()
                                            .forEach(
                                                    shift ->
                                                            spendings.add(
                                                                    spendingOf(service, shift))));
        }
        return spendings;
    }

    /**
     * Returns the warnings of the predictions. Must be called after {@link #loads} and {@link
     * #spendings}.
     */
    List<String> warnings() {
        mBefore.content().services().stream()
                .filter(service -> mAfter.service(service.id()).isEmpty())
                .forEach(service -> warn("The service %s goes away.", service.id()));
        return List.copyOf(mWarnings);
    }

    private List<PredictedLoad> loadsOf(ServiceId service) {
        Map<RegionId, Long> slots = new LinkedHashMap<>();
        Map<RegionId, Double> uses = new LinkedHashMap<>();
        for (RegionSpecification region : mAfter.content().regions()) {
            slots.put(region.id(), slots(mAfter, service, region.id()));
            uses.put(region.id(), use(service, region.id()));
        }
        double removedUse =
                mBefore.content().regions().stream()
                        .filter(region -> !uses.containsKey(region.id()))
                        .mapToDouble(region -> use(service, region.id()))
                        .sum();
        Map<RegionId, Double> distributed = distribute(slots, uses, removedUse);
        warnOfHighUse(service, slots, distributed);
        warnOfRegionLoss(service, slots, distributed);
        return distributed.entrySet().stream()
                .map(
                        entry ->
                                new PredictedLoad(
                                        service,
                                        entry.getKey(),
                                        slots.get(entry.getKey()),
                                        entry.getValue(),
                                        observed(service, entry.getKey()).isPresent()))
                .toList();
    }

    private static long slots(Configuration configuration, ServiceId service, RegionId region) {
        return configuration.backendServers(service, region).stream()
                .filter(server -> !server.leaving())
                .mapToLong(BackendServerSpecification::slots)
                .sum();
    }

    private OptionalDouble observed(ServiceId service, RegionId region) {
        return mObservations.slotsInUse(service, region);
    }

    private double use(ServiceId service, RegionId region) {
        return observed(service, region)
                .orElseGet(
                        () ->
                                ASSUMED_USE
                                        * (double)
                                                (mBefore.service(service).isPresent()
                                                        ? slots(mBefore, service, region)
                                                        : slots(mAfter, service, region)));
    }

    /**
     * Distributes the use that exceeds the slots of its region among the free slots of the other
     * regions.
     */
    private static Map<RegionId, Double> distribute(
            Map<RegionId, Long> slots, Map<RegionId, Double> uses, double removedUse) {
        double excess = removedUse;
        double freeSlots = 0;
        for (Map.Entry<RegionId, Double> use : uses.entrySet()) {
            long regionSlots = slots.get(use.getKey());
            excess += Math.max(0, use.getValue() - (double) regionSlots);
            freeSlots += Math.max(0, (double) regionSlots - use.getValue());
        }
        Map<RegionId, Double> distributed = new LinkedHashMap<>();
        for (Map.Entry<RegionId, Double> use : uses.entrySet()) {
            long regionSlots = slots.get(use.getKey());
            double regionFreeSlots = Math.max(0, (double) regionSlots - use.getValue());
            double share = freeSlots == 0 ? 0 : excess * regionFreeSlots / freeSlots;
            distributed.put(use.getKey(), Math.min((double) regionSlots, use.getValue()) + share);
        }
        return distributed;
    }

    private void warnOfHighUse(
            ServiceId service, Map<RegionId, Long> slots, Map<RegionId, Double> uses) {
        uses.forEach(
                (region, use) -> {
                    long regionSlots = slots.get(region);
                    if (use > (double) regionSlots * HIGH_USE_FRACTION && use > 0) {
                        warn(
                                "Region %s would use %.1f of %d slots of the service %s.",
                                region, use, regionSlots, service);
                    }
                });
    }

    private void warnOfRegionLoss(
            ServiceId service, Map<RegionId, Long> slots, Map<RegionId, Double> uses) {
        double totalUse = uses.values().stream().mapToDouble(Double::doubleValue).sum();
        long totalSlots = slots.values().stream().mapToLong(Long::longValue).sum();
        slots.forEach(
                (region, regionSlots) -> {
                    if (regionSlots > 0 && totalUse > (double) (totalSlots - regionSlots)) {
                        warn(
                                "If region %s failed, the others could not carry the service %s:"
                                        + " %.1f slots in use, %d left.",
                                region, service, totalUse, totalSlots - regionSlots);
                    }
                });
    }

    private PredictedSpending spendingOf(ServiceSpecification service, ShiftSpecification shift) {
        OptionalLong allotted = mObservations.allottedMicros(service.id(), shift.name());
        OptionalLong expected = expectedMicros(service, shift);
        if (allotted.isPresent() && allotted.getAsLong() > shift.capMicros()) {
            warn(
                    "The cap of the shift %s of the service %s, %d, is below what is allotted,"
                            + " %d: what instances hold can still be spent, nothing more.",
                    shift.name(), service.id(), shift.capMicros(), allotted.getAsLong());
        }
        if (expected.isPresent() && expected.getAsLong() > shift.capMicros()) {
            warn(
                    "At the rate observed the service %s would reach the cap of the shift %s.",
                    service.id(), shift.name());
        }
        return new PredictedSpending(
                service.id(), shift.name(), shift.capMicros(), expected, allotted);
    }

    private OptionalLong expectedMicros(ServiceSpecification service, ShiftSpecification shift) {
        long seconds =
                Math.floorMod(
                        (long) shift.end().toSecondOfDay() - shift.start().toSecondOfDay(),
                        DAY_SECONDS);
        double micros = 0;
        boolean observed = false;
        for (RegionSpecification region : mAfter.content().regions()) {
            OptionalDouble rate = mObservations.requestsPerSecond(service.id(), region.id());
            observed |= rate.isPresent();
            micros += rate.orElse(0) * (double) (service.priceMicros(region.id()) * seconds);
        }
        return observed ? OptionalLong.of(Math.round(micros)) : OptionalLong.empty();
    }

    private void warn(String format, Object... arguments) {
        mWarnings.add(format.formatted(arguments));
    }
}
