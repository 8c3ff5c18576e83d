package io.masticpond.core.spending;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Covers time zones, midnight, daylight saving changes and shift boundaries. */
class ShiftCalendarTest {

    private static final Duration ERROR = Duration.ofMillis(500);

    private static ShiftSpecification shift(String name, String start, String end, long cap) {
        return new ShiftSpecification(name, LocalTime.parse(start), LocalTime.parse(end), cap);
    }

    private static ShiftCalendar calendar(String zone, ShiftSpecification... shifts) {
        return ShiftCalendar.of(new SpendingSpecification(zone, List.of(shifts)), ERROR);
    }

    private static String idAt(ShiftCalendar calendar, String moment) {
        return calendar.at(Instant.parse(moment)).map(found -> found.id().value()).orElse("none");
    }

    @Example
    void shiftOverMidnightHasDateOfItsStart() {
        ShiftCalendar calendar =
                calendar(
                        "Australia/Perth",
                        shift("day", "06:00", "22:00", 5),
                        shift("night", "22:00", "06:00", 5));
        assertThat(idAt(calendar, "2026-12-02T14:00:00Z")).isEqualTo("2026-12-02-night");
        assertThat(idAt(calendar, "2026-12-02T21:59:59Z")).isEqualTo("2026-12-02-night");
        assertThat(idAt(calendar, "2026-12-02T22:00:00Z")).isEqualTo("2026-12-03-day");
    }

    @Example
    void startInSkippedHourMapsToMomentOfChange() {
        ShiftCalendar calendar =
                calendar(
                        "Europe/Paris",
                        shift("late", "18:00", "02:30", 5),
                        shift("early", "02:30", "10:00", 5),
                        shift("rest", "10:00", "18:00", 5));
        assertThat(idAt(calendar, "2026-03-29T00:59:59Z")).isEqualTo("2026-03-28-late");
        assertThat(idAt(calendar, "2026-03-29T01:00:00Z")).isEqualTo("2026-03-29-early");
    }

    @Example
    void repeatedLocalTimeMapsToFirstOccurrence() {
        ShiftCalendar calendar =
                calendar(
                        "Europe/Paris",
                        shift("late", "18:00", "02:30", 5),
                        shift("early", "02:30", "18:00", 5));
        assertThat(idAt(calendar, "2026-10-25T00:29:59Z")).isEqualTo("2026-10-24-late");
        assertThat(idAt(calendar, "2026-10-25T00:30:00Z")).isEqualTo("2026-10-25-early");
    }

    @Example
    void shiftWithinSkippedHourDoesNotTakePlace() {
        ShiftCalendar calendar = calendar("Europe/Paris", shift("short", "02:10", "02:50", 5));
        assertThat(idAt(calendar, "2026-03-29T01:00:00Z")).isEqualTo("none");
        Instant next = calendar.next(Instant.parse("2026-03-29T00:00:00Z")).orElseThrow().start();
        assertThat(next).isEqualTo(Instant.parse("2026-03-30T00:10:00Z"));
    }

    @Example
    void chargesBothShiftsNearBoundary() {
        ShiftCalendar calendar =
                calendar("UTC", shift("a", "00:00", "12:00", 5), shift("b", "12:00", "00:00", 5));
        assertThat(calendar.chargedAt(Instant.parse("2026-12-02T12:00:00.4Z")).size()).isEqualTo(2);
        assertThat(calendar.chargedAt(Instant.parse("2026-12-02T11:59:59.6Z")).size()).isEqualTo(2);
        assertThat(calendar.chargedAt(Instant.parse("2026-12-02T12:00:00.5Z")).size()).isEqualTo(1);
        assertThat(calendar.chargedAt(Instant.parse("2026-12-02T11:59:59.4Z")).size()).isEqualTo(1);
    }

    @Example
    void nextShiftHasCapAboveZero() {
        ShiftCalendar calendar =
                calendar("UTC", shift("a", "00:00", "12:00", 5), shift("b", "12:00", "00:00", 0));
        Shift next = calendar.next(Instant.parse("2026-12-02T05:00:00Z")).orElseThrow();
        assertThat(next.id().value()).isEqualTo("2026-12-03-a");
        assertThat(calendar("UTC", shift("a", "00:00", "12:00", 0)).next(Instant.EPOCH).isEmpty())
                .isTrue();
    }

    @Example
    void namesWithEscapedCharactersHaveDistinctIds() {
        ShiftCalendar calendar =
                calendar(
                        "UTC",
                        shift("früh schicht", "00:00", "12:00", 5),
                        shift("fr_h.schicht", "12:00", "00:00", 5));
        Shift first = calendar.at(Instant.parse("2026-12-02T01:00:00Z")).orElseThrow();
        Shift second = calendar.at(Instant.parse("2026-12-02T13:00:00Z")).orElseThrow();
        assertThat(!first.id().equals(second.id())).isTrue();
        assertThat(calendar.shift(first.id()).orElseThrow()).isEqualTo(first);
    }

    @Example
    void reportsAllFaults() {
        SpendingSpecification specification =
                new SpendingSpecification(
                        "Africa/Fez",
                        List.of(
                                shift("day", "06:00", "18:00", 5),
                                shift("night", "17:00", "05:00", 5),
                                shift("day", "05:00", "06:00", 5)));
        assertThat(ShiftCalendar.faults(specification).size()).isEqualTo(3);
    }

    @Property(seed = "20261202")
    void adjacentShiftsCoverEveryMomentOnce(
            @ForAll @LongRange(min = 1_700_000_000L, max = 1_900_000_000L) long second) {
        ShiftCalendar calendar =
                calendar(
                        "Africa/Casablanca",
                        shift("a", "02:30", "10:00", 5),
                        shift("b", "10:00", "18:30", 5),
                        shift("c", "18:30", "02:30", 5));
        Instant moment = Instant.ofEpochSecond(second);
        Shift shift = calendar.at(moment).orElseThrow();
        assertThat(calendar.at(shift.end()).orElseThrow().start()).isEqualTo(shift.end());
    }
}
