package io.masticpond.core.lookup;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Distribution of the places of an answer over availability zones.
 *
 * <p>The nearest zone gets its configured number first, then the second zone one place, then the
 * nearest zone of another region one place, so that a client can survive the loss of a zone and of
 * a region. Remaining places are filled starting with the nearest zone.
 */
final class ZoneQuotas {

    private final LookupParameters mParameters;
    private final Configuration mConfiguration;
    private final List<ZoneId> mZones;
    private final ToIntFunction<ZoneId> mSizes;
    private final Map<ZoneId, Integer> mCounts = new LinkedHashMap<>();
    private int mTotal;

    /**
     * Creates the quotas of the zones over which places are distributed.
     *
     * @param parameters the parameters with the number of places
     * @param configuration the configuration with the regions
     * @param zones the zones with live instances, the nearest first
     * @param sizes the function that returns the number of live instances of a zone
     */
    ZoneQuotas(
            LookupParameters parameters,
            Configuration configuration,
            List<ZoneId> zones,
            ToIntFunction<ZoneId> sizes) {
        mParameters = parameters;
        mConfiguration = configuration;
        mZones = zones;
        mSizes = sizes;
    }

    List<ZoneQuota> distribute() {
        mZones.forEach(zone -> mCounts.put(zone, 0));
        if (!mZones.isEmpty()) {
            assign(mZones.get(0), mParameters.nearestZoneInstances());
        }
        if (mZones.size() > 1) {
            assign(mZones.get(1), 1);
        }
        firstZoneOfOtherRegion().ifPresent(zone -> assign(zone, 1 - mCounts.get(zone)));
        for (ZoneId zone : mZones) {
            assign(zone, mParameters.maximumInstances());
        }
        return cumulativeQuotas();
    }

    private void assign(ZoneId zone, int wanted) {
        int previous = mCounts.get(zone);
        int remaining = mParameters.maximumInstances() - mTotal;
        int assigned = Math.min(Math.min(wanted, remaining), mSizes.applyAsInt(zone) - previous);
        mCounts.put(zone, previous + assigned);
        mTotal += assigned;
    }

    private Optional<ZoneId> firstZoneOfOtherRegion() {
        if (mZones.isEmpty()) {
            return Optional.empty();
        }
        Optional<RegionId> home = mConfiguration.regionOf(mZones.get(0));
        return mZones.stream()
                .filter(zone -> !mConfiguration.regionOf(zone).equals(home))
                .findFirst();
    }

    private List<ZoneQuota> cumulativeQuotas() {
        List<ZoneQuota> quotas = new ArrayList<>();
        int total = 0;
        for (Map.Entry<ZoneId, Integer> entry : mCounts.entrySet()) {
            total += entry.getValue();
            if (entry.getValue() > 0) {
                quotas.add(new ZoneQuota(entry.getKey(), total));
            }
        }
        return quotas;
    }
}
