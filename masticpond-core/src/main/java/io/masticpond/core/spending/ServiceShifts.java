package io.masticpond.core.spending;

import io.masticpond.core.id.ShiftId;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Shift calendar and highest price of a service, with a cache of the shift that charges are taken
 * from while no shift boundary is near.
 */
final class ServiceShifts {

    private static final int MAXIMUM_CACHED_SHIFTS = 16;

    private final ShiftCalendar mCalendar;
    private final long mHighestPriceMicros;
    private List<Shift> mCharged = List.of();
    private final Map<ShiftId, Optional<Shift>> mShifts = new HashMap<>();
    private Optional<Shift> mNext = Optional.empty();
    private Instant mNextValidFrom = Instant.MIN;
    private Instant mChargedFrom = Instant.MAX;
    private Instant mChargedUntil = Instant.MIN;

    ServiceShifts(ShiftCalendar calendar, long highestPriceMicros) {
        mCalendar = calendar;
        mHighestPriceMicros = highestPriceMicros;
    }

    long highestPriceMicros() {
        return mHighestPriceMicros;
    }

    /** Returns the same shifts as {@link ShiftCalendar#chargedAt}. */
    List<Shift> chargedAt(Instant moment) {
        if (!moment.isBefore(mChargedFrom) && moment.isBefore(mChargedUntil)) {
            return mCharged;
        }
        List<Shift> charged = mCalendar.chargedAt(moment);
        if (charged.size() == 1) {
            Shift shift = charged.get(0);
            mCharged = charged;
            mChargedFrom = shift.start().plus(mCalendar.clockError());
            mChargedUntil = shift.end().minus(mCalendar.clockError());
        }
        return charged;
    }

    /** Returns the same shift as {@link ShiftCalendar#next}. */
    Optional<Shift> next(Instant moment) {
        boolean isCurrent =
                mNext.isPresent()
                        && !moment.isBefore(mNextValidFrom)
                        && moment.isBefore(mNext.get().start());
        if (!isCurrent) {
            mNext = mCalendar.next(moment);
            mNextValidFrom = moment;
        }
        return mNext;
    }

    /** Returns the same shift as {@link ShiftCalendar#shift}. */
    Optional<Shift> shift(ShiftId id) {
        if (mShifts.size() > MAXIMUM_CACHED_SHIFTS) {
            mShifts.clear();
        }
        return mShifts.computeIfAbsent(id, mCalendar::shift);
    }
}
