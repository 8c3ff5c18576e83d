package io.masticpond.entry.spending;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.settings.SpendingSettings;
import io.masticpond.entry.settings.SpendingSettings.ServiceSpending;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Prices of attempts by service and availability zone. A zone without a price in the settings is
 * charged the highest price of the service.
 */
final class SpendingPrices {

    private final Map<ServiceId, ServicePrices> mPricesByService = new HashMap<>();

    SpendingPrices(SpendingSettings settings, Map<ZoneId, RegionId> regions) {
        for (ServiceSpending spending : settings.services()) {
            long highest = Collections.max(spending.prices().values());
            Map<ZoneId, Long> zones = new HashMap<>();
            regions.forEach(
                    (zone, region) ->
                            zones.put(zone, spending.prices().getOrDefault(region, highest)));
            mPricesByService.put(spending.service(), new ServicePrices(zones, highest));
        }
    }

    /** Returns the price of an attempt in millionths, 0 for a service without a cap. */
    long priceMicros(ServiceId service, ZoneId zone) {
        ServicePrices prices = mPricesByService.get(service);
        return prices == null ? 0 : prices.zones.getOrDefault(zone, prices.highest);
    }

    private record ServicePrices(Map<ZoneId, Long> zones, long highest) {}
}
