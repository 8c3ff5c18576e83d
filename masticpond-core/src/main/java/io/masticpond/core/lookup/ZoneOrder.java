package io.masticpond.core.lookup;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.LinkSpecification;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Order of availability zones by distance from one of them: the zone itself, its region, other
 * regions.
 */
final class ZoneOrder {

    private ZoneOrder() {}

    /**
     * Returns all availability zones in order.
     *
     * @param configuration the configuration
     * @param nearest the availability zone to start from
     * @param rotation the number of places by which regions of equal distance are rotated from the
     *     order of names
     * @return the availability zones, the nearest first
     */
    static List<ZoneId> from(Configuration configuration, ZoneId nearest, int rotation) {
        RegionId home = configuration.regionOf(nearest).orElse(null);
        List<RegionSpecification> regions = new ArrayList<>(configuration.content().regions());
        regions.sort(
                Comparator.comparingLong(
                                (RegionSpecification region) ->
                                        distance(configuration, home, region.id()))
                        .thenComparing(RegionSpecification::id));
        rotateEquals(regions, region -> distance(configuration, home, region.id()), rotation);
        List<ZoneId> zones = new ArrayList<>();
        for (RegionSpecification region : regions) {
            int start = Math.max(0, region.zones().indexOf(nearest));
            for (int i = 0; i < region.zones().size(); i++) {
                zones.add(region.zones().get((start + i) % region.zones().size()));
            }
        }
        return zones;
    }

    private static void rotateEquals(
            List<RegionSpecification> regions,
            ToLongFunction<RegionSpecification> distance,
            int rotation) {
        int start = 0;
        for (int end = 1; end <= regions.size(); end++) {
            boolean isRunEnd =
                    end == regions.size()
                            || distance.applyAsLong(regions.get(end))
                                    != distance.applyAsLong(regions.get(start));
            if (isRunEnd) {
                Collections.rotate(regions.subList(start, end), rotation);
                start = end;
            }
        }
    }

    private static long distance(Configuration configuration, RegionId home, RegionId region) {
        if (region.equals(home)) {
            return -1;
        }
        return configuration.content().links().stream()
                .filter(link -> link.connects(home, region))
                .mapToLong(LinkSpecification::oneWayMicros)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }
}
