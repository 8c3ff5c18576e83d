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
 * Shares the places of an answer among availability zones.
 *
 * <p>The nearest zone gets its number first, then the second zone one, then the nearest zone of
 * another region one, so that a client outlives the loss of a zone and of a region. Places that are
 * left are filled from the nearest zone on.
 */
final class ZoneQuotas {

    private final LookupParameters mKnobs;
    private final Configuration mConfiguration;
    private final List<ZoneId> mZones;
    private final ToIntFunction<ZoneId> mSizes;
    private final Map<ZoneId, Integer> mCounts = new LinkedHashMap<>();
    private int mTotal;

    /**
     * Takes the zones to share among.
     *
     * @param knobs how many places there are
     * @param configuration tells the regions
     * @param zones the zones with live instances, the nearest first
     * @param sizes tells how many live instances a zone has
     */
    ZoneQuotas(
            LookupParameters knobs,
            Configuration configuration,
            List<ZoneId> zones,
            ToIntFunction<ZoneId> sizes) {
        mKnobs = knobs;
        mConfiguration = configuration;
        mZones = zones;
        mSizes = sizes;
    }

    List<ZoneQuota> share() {
        mZones.forEach(zone -> mCounts.put(zone, 0));
        if (!mZones.isEmpty()) {
            give(mZones.get(0), mKnobs.nearestZoneInstances());
        }
        if (mZones.size() > 1) {
            give(mZones.get(1), 1);
        }
        otherRegion().ifPresent(zone -> give(zone, 1 - mCounts.get(zone)));
        for (ZoneId zone : mZones) {
            give(zone, mKnobs.maximumInstances());
        }
        return accumulated();
    }

    private void give(ZoneId zone, int wanted) {
        int before = mCounts.get(zone);
        int room = mKnobs.maximumInstances() - mTotal;
        int given = Math.min(Math.min(wanted, room), mSizes.applyAsInt(zone) - before);
        mCounts.put(zone, before + given);
        mTotal += given;
    }

    private Optional<ZoneId> otherRegion() {
        if (mZones.isEmpty()) {
            return Optional.empty();
        }
        Optional<RegionId> home = mConfiguration.regionOf(mZones.get(0));
        return mZones.stream()
                .filter(zone -> !mConfiguration.regionOf(zone).equals(home))
                .findFirst();
    }

    private List<ZoneQuota> accumulated() {
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
