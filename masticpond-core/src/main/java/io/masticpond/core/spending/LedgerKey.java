package io.masticpond.core.spending;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.support.Assert;

/**
 * Key of the ledger of one service in one shift.
 *
 * @param service the service
 * @param shift the shift
 * @since 0.1
 */
public record LedgerKey(ServiceId service, ShiftId shift) {

    /** Validates that both components are present. */
    public LedgerKey {
        Assert.notNull(service, "A service id");
        Assert.notNull(shift, "A shift id");
    }

    /**
     * Returns the name of the object at the platform. Names are unique, because a shift id created
     * by {@link ShiftCalendar} contains no dot.
     *
     * @return the shift and the service, joined by a dot
     */
    public String objectName() {
        return shift + "." + service;
    }

    @Override
    public String toString() {
        return objectName();
    }
}
