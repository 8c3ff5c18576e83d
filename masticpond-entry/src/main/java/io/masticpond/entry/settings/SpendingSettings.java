package io.masticpond.entry.settings;

import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What may be spent in a shift, and what an attempt costs.
 *
 * @param version the number of these caps; of two instances whose caps differ, those of the higher
 *     version count
 * @param ledgers what the names of the ledgers in the store begin with
 * @param clockError by how much the clocks of instances may be wrong
 * @param cover for how long an instance can go on without the store
 * @param services the services that have caps
 * @since 0.3
 */
public record SpendingSettings(
        long version,
        String ledgers,
        Duration clockError,
        Duration cover,
        List<ServiceSpending> services) {

    /** Checks the parts and copies the list. */
    public SpendingSettings {
        Assert.positive(version, "The version of spending caps");
        Assert.hasText(ledgers, "The name of ledgers");
        Assert.isTrue(!clockError.isNegative(), "A clock error must not be negative.");
        Assert.isTrue(cover.toNanos() > 0, "The cover of an allotment must be positive.");
        services = List.copyOf(Assert.notEmpty(services, "The services that have spending caps"));
    }

    /**
     * The caps of one service.
     *
     * @param service the service
     * @param shifts its shifts with their caps
     * @param prices what an attempt costs in each region, in millionths of the operators' unit of
     *     money
     * @since 0.3
     */
    public record ServiceSpending(
            ServiceId service, SpendingSpecification shifts, Map<RegionId, Long> prices) {

        /** Checks the parts and copies the prices. */
        public ServiceSpending {
            Assert.notNull(service, "A service id");
            Assert.notNull(shifts, "The shifts of a service");
            prices = Map.copyOf(prices);
        }
    }
}
