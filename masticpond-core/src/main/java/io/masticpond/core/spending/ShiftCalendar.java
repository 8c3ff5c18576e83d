package io.masticpond.core.spending;

import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.support.Assert;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.zone.ZoneOffsetTransition;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Calendar that maps moments to shifts in the service's time zone.
 *
 * <p>A local time that is skipped by a daylight saving change maps to the moment of the change; one
 * that occurs twice maps to its first occurrence. Shifts that are adjacent in local time are
 * therefore adjacent in absolute time. A shift that is left without any length by a change does not
 * take place.
 *
 * <p>The clock of an instance may be wrong by up to the given error. A moment nearer than that to
 * the boundary of two shifts may belong to either, so {@link #chargedAt} returns both, and a charge
 * taken from both is charged to the right one in any case. Immutable.
 *
 * @since 0.1
 */
public final class ShiftCalendar {

    /** Calendar without shifts, under which nothing may be spent. */
    public static final ShiftCalendar NONE =
            new ShiftCalendar(ZoneOffset.UTC, List.of(), Duration.ZERO);

    private static final int DAYS_AHEAD = 8;
    private static final Comparator<Shift> BY_START_TIME = Comparator.comparing(Shift::start);

    private final ZoneId mZone;
    private final List<ShiftSpecification> mSpecifications;
    private final Duration mClockError;

    /**
     * Creates the calendar of a service.
     *
     * @param specification time zone and shifts, free of {@link #faults}
     * @param clockError the maximum error of an instance's clock
     * @return the calendar
     * @throws IllegalArgumentException if the specification has faults
     */
    public static ShiftCalendar of(SpendingSpecification specification, Duration clockError) {
        List<String> faults = faults(specification);
        Assert.isTrue(faults.isEmpty(), "%s", String.join(" ", faults));
        Assert.isTrue(!clockError.isNegative(), "A clock error must not be negative.");
        ZoneId zone = ZoneId.of(specification.timeZone());
        return new ShiftCalendar(zone, specification.shifts(), clockError);
    }

    private ShiftCalendar(
            ZoneId zone, List<ShiftSpecification> specifications, Duration clockError) {
        mZone = zone;
        mSpecifications = specifications;
        mClockError = clockError;
    }

    /**
     * Returns the faults of a specification, for the plan that contains it.
     *
     * @param specification time zone and shifts
     * @return one sentence for each fault: an unknown time zone, two shifts of one name, two shifts
     *     that overlap
     */
    public static List<String> faults(SpendingSpecification specification) {
        List<String> faults = new ArrayList<>();
        if (!isZone(specification.timeZone())) {
            faults.add("The time zone '" + specification.timeZone() + "' is not known.");
        }
        List<ShiftSpecification> shifts = specification.shifts();
        for (int index = 0; index < shifts.size(); index++) {
            ShiftSpecification shift = shifts.get(index);
            for (ShiftSpecification other : shifts.subList(0, index)) {
                addFaultsOfPair(shift, other, faults);
            }
        }
        return faults;
    }

    /**
     * Returns the shift that contains a moment.
     *
     * @param moment the moment by the clock of the instance
     * @return the shift, or empty if the moment is between shifts
     */
    public Optional<Shift> at(Instant moment) {
        return shiftsAround(moment).stream().filter(shift -> shift.contains(moment)).findFirst();
    }

    /**
     * Returns the shifts that a charge at a moment is taken from.
     *
     * @param moment the moment by the clock of the instance
     * @return the shift of the moment first; near a boundary the adjacent shift too; empty if the
     *     moment is between shifts
     */
    public List<Shift> chargedAt(Instant moment) {
        Optional<Shift> current = at(moment);
        if (current.isEmpty()) {
            return List.of();
        }
        List<Shift> charged = new ArrayList<>();
        charged.add(current.get());
        addIfAbsent(at(moment.minus(mClockError)), charged);
        addIfAbsent(at(moment.plus(mClockError)), charged);
        return charged;
    }

    /**
     * Returns the next shift with a cap above zero.
     *
     * @param moment the moment by the clock of the instance
     * @return the first shift with a cap above zero that starts after the moment, or empty if none
     *     does within a week
     */
    public Optional<Shift> next(Instant moment) {
        LocalDate today = LocalDate.ofInstant(moment, mZone);
        for (int day = -1; day <= DAYS_AHEAD; day++) {
            Optional<Shift> next =
                    shiftsOf(today.plusDays(day)).stream()
                            .filter(shift -> shift.start().isAfter(moment))
                            .filter(shift -> shift.capMicros() > 0)
                            .min(BY_START_TIME);
            if (next.isPresent()) {
                return next;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns a shift by its id.
     *
     * @param id the shift
     * @return the shift as currently specified, or empty if it is not specified
     */
    public Optional<Shift> shift(ShiftId id) {
        return ShiftNames.dateOf(id).stream()
                .flatMap(date -> shiftsOf(date).stream())
                .filter(shift -> shift.id().equals(id))
                .findFirst();
    }

    /**
     * Returns the maximum error of an instance's clock.
     *
     * @return the bound, not negative
     */
    public Duration clockError() {
        return mClockError;
    }

    private List<Shift> shiftsAround(Instant moment) {
        LocalDate today = LocalDate.ofInstant(moment, mZone);
        List<Shift> shifts = new ArrayList<>(shiftsOf(today.minusDays(1)));
        shifts.addAll(shiftsOf(today));
        return shifts;
    }

    private List<Shift> shiftsOf(LocalDate date) {
        List<Shift> shifts = new ArrayList<>();
        for (ShiftSpecification specification : mSpecifications) {
            boolean overMidnight = !specification.start().isBefore(specification.end());
            LocalDate endDate = overMidnight ? date.plusDays(1) : date;
            Instant start = instantOf(date.atTime(specification.start()));
            Instant end = instantOf(endDate.atTime(specification.end()));
            if (start.isBefore(end)) {
                ShiftId id = ShiftNames.idOf(date, specification.name());
                shifts.add(
                        new Shift(id, specification.name(), start, end, specification.capMicros()));
            }
        }
        return shifts;
    }

    private Instant instantOf(LocalDateTime local) {
        ZoneOffsetTransition transition = mZone.getRules().getTransition(local);
        if (transition != null && transition.isGap()) {
            return transition.getInstant();
        }
        return ZonedDateTime.of(local, mZone).toInstant();
    }

    private static void addIfAbsent(Optional<Shift> shift, List<Shift> charged) {
        if (shift.isPresent() && !charged.contains(shift.get())) {
            charged.add(shift.get());
        }
    }

    private static boolean isZone(String name) {
        try {
            ZoneId.of(name);
            return true;
        } catch (DateTimeException e) {
            return false;
        }
    }

    private static void addFaultsOfPair(
            ShiftSpecification shift, ShiftSpecification other, List<String> faults) {
        if (shift.name().equals(other.name())) {
            faults.add("Two shifts have the name '" + shift.name() + "'.");
        }
        if (DayTimes.of(shift).overlaps(DayTimes.of(other))) {
            faults.add("The shifts '" + other.name() + "' and '" + shift.name() + "' overlap.");
        }
    }

    /** Times of a shift in nanoseconds of the day; the end may be on the next day. */
    private record DayTimes(long start, long end) {

        private static final long DAY = Duration.ofDays(1).toNanos();

        static DayTimes of(ShiftSpecification shift) {
            long start = shift.start().toNanoOfDay();
            long end = shift.end().toNanoOfDay();
            return new DayTimes(start, end > start ? end : end + DAY);
        }

        boolean overlaps(DayTimes other) {
            return intersects(other) || intersects(other.nextDay()) || nextDay().intersects(other);
        }

        private boolean intersects(DayTimes other) {
            return start < other.end && other.start < end;
        }

        private DayTimes nextDay() {
            return new DayTimes(start + DAY, end + DAY);
        }
    }
}
