package io.masticpond.entry.settings;

import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Settings of what may be spent in a shift, and of the cost of an attempt.
 *
 * @param version the version of these caps; if the caps of two instances differ, those of the
 *     higher version apply
 * @param ledgers the prefix of the names of the ledgers in the store
 * @param clockError the maximum error of the clocks of instances
 * @param cover how long an instance can continue without the store
 * @param services the services that have caps
 * @since 0.3
 */
public record SpendingSettings(
        long version,
        String ledgers,
        Duration clockError,
        Duration cover,
        List<ServiceSpending> services) {

    /** Validates the components and copies the list. */
    public SpendingSettings {
        Assert.positive(version, "The version of spending caps");
        Assert.hasText(ledgers, "The name of ledgers");
        Assert.isTrue(!clockError.isNegative(), "A clock error must not be negative.");
        Assert.isTrue(cover.toNanos() > 0, "The cover of an allotment must be positive.");
        services = List.copyOf(Assert.notEmpty(services, "The services that have spending caps"));
    }

    /**
     * Spending caps of one service.
     *
     * @param service the service
     * @param shifts its shifts with their caps
     * @param prices the cost of an attempt in each region, in millionths of the operators' unit of
     *     money
     * @since 0.3
     */
    public record ServiceSpending(
            ServiceId service, SpendingSpecification shifts, Map<RegionId, Long> prices) {

        /** Validates the components and copies the prices. */
        public ServiceSpending {
            Assert.notNull(service, "A service id");
            Assert.notNull(shifts, "The shifts of a service");
            prices = Map.copyOf(prices);
        }
    }
}
