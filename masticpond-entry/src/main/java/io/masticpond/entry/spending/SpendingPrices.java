package io.masticpond.entry.spending;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.settings.SpendingSettings;
import io.masticpond.entry.settings.SpendingSettings.ServiceSpending;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** What an attempt costs; in a zone that the settings do not list, as much as anywhere. */
final class SpendingPrices {

    private final Map<ServiceId, ServicePrices> mServices = new HashMap<>();

    SpendingPrices(SpendingSettings settings, Map<ZoneId, RegionId> regions) {
        for (ServiceSpending spending : settings.services()) {
            long highest = Collections.max(spending.prices().values());
            Map<ZoneId, Long> zones = new HashMap<>();
            regions.forEach(
                    (zone, region) ->
                            zones.put(zone, spending.prices().getOrDefault(region, highest)));
            mServices.put(spending.service(), new ServicePrices(zones, highest));
        }
    }

    /** Tells the price in millionths, 0 for a service without a cap. */
    long micros(ServiceId service, ZoneId zone) {
        ServicePrices prices = mServices.get(service);
        return prices == null ? 0 : prices.zones.getOrDefault(zone, prices.highest);
    }

    private record ServicePrices(Map<ZoneId, Long> zones, long highest) {}
}
