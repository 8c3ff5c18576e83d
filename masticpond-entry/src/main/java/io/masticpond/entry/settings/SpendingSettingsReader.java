package io.masticpond.entry.settings;

import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.Identifiers;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.spending.ShiftCalendar;
import io.masticpond.entry.settings.SpendingSettings.ServiceSpending;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Reader of the part of the settings about spending, if it is given. */
final class SpendingSettingsReader {

    private static final String NAME = "a name";
    private static final String DEFAULT_LEDGERS = "spending";
    private static final Duration DEFAULT_CLOCK_ERROR = Duration.ofMillis(500);
    private static final Duration DEFAULT_COVER = Duration.ofMinutes(15);

    /** Largest number up to which every JSON reader reads integers exactly. */
    private static final long MAXIMUM_MICROS = 1L << 53;

    private static final String MICROS = "a whole number from 0 to " + MAXIMUM_MICROS;

    private final SettingsFields mFields;
    private final Set<RegionId> mRegions;

    SpendingSettingsReader(SettingsFields fields, Collection<RegionId> regions) {
        mFields = fields;
        mRegions = new HashSet<>(regions);
    }

    /**
     * Reads the part. After an error the result is only a placeholder, which allows reading to
     * continue.
     */
    Optional<SpendingSettings> read() {
        List<ServiceSpending> services = new ArrayList<>();
        Set<ServiceId> known = new HashSet<>();
        for (SettingsFields fields : mFields.objects("services")) {
            ServiceId service =
                    fields.required("service", NAME, new ServiceId("none"), ServiceId::new);
            if (!known.add(service)) {
                fields.refuse("service", "must be listed once, but '%s' is listed again", service);
            }
            Map<RegionId, Long> prices = prices(fields);
            shifts(fields).ifPresent(s -> services.add(new ServiceSpending(service, s, prices)));
        }
        long version = mFields.required("version", "a whole number from 1", 1L, this::version);
        String ledgers =
                mFields.optional(
                        "ledgers",
                        NAME,
                        DEFAULT_LEDGERS,
                        text -> Identifiers.check(text, "A ledger name"));
        Duration clockError = mFields.time("clockError", DEFAULT_CLOCK_ERROR);
        Duration cover = mFields.time("cover", DEFAULT_COVER);
        if (cover.isZero()) {
            mFields.refuse("cover", "must be more than %s", "0s");
            return Optional.empty();
        }
        return services.isEmpty()
                ? Optional.empty()
                : Optional.of(new SpendingSettings(version, ledgers, clockError, cover, services));
    }

    private Optional<SpendingSpecification> shifts(SettingsFields fields) {
        String zone = fields.required("timeZone", "a time zone", "UTC", text -> text);
        List<ShiftSpecification> shifts = new ArrayList<>();
        for (SettingsFields shift : fields.objects("shifts")) {
            shifts.add(
                    new ShiftSpecification(
                            shift.required("name", NAME, "none", text -> text),
                            time(shift, "start"),
                            time(shift, "end"),
                            micros(shift, "capMicros")));
        }
        if (shifts.isEmpty()) {
            return Optional.empty();
        }
        SpendingSpecification specification = new SpendingSpecification(zone, shifts);
        for (String fault : ShiftCalendar.faults(specification)) {
            fields.refuse("shifts", "cannot be used: %s", fault.replaceAll("\\.$", ""));
        }
        return Optional.of(specification);
    }

    private Map<RegionId, Long> prices(SettingsFields fields) {
        Map<RegionId, Long> prices = new HashMap<>();
        for (SettingsFields price : fields.objects("prices")) {
            RegionId region = price.required("region", NAME, new RegionId("none"), RegionId::new);
            if (!mRegions.contains(region)) {
                price.refuse("region", "must be a region of zones, but was '%s'", region);
            }
            if (prices.put(region, micros(price, "attemptMicros")) != null) {
                price.refuse("region", "must be listed once, but '%s' is listed again", region);
            }
        }
        Set<String> missing = new TreeSet<>();
        mRegions.stream()
                .filter(region -> !prices.containsKey(region))
                .forEach(region -> missing.add(region.value()));
        if (!missing.isEmpty()) {
            fields.refuse(
                    "prices",
                    "must state the price of an attempt in each region, but %s is missing",
                    String.join(", ", missing));
        }
        return prices;
    }

    private static LocalTime time(SettingsFields fields, String field) {
        return fields.required(
                field, "a time of day such as 06:00", LocalTime.MIDNIGHT, text -> parseTime(text));
    }

    private static LocalTime parseTime(String text) {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("The text is not a time of day.", e);
        }
    }

    private static long micros(SettingsFields fields, String field) {
        return fields.required(field, MICROS, 0L, text -> parseWhole(text, 0));
    }

    private long version(String text) {
        return parseWhole(text, 1);
    }

    private static long parseWhole(String text, long minimum) {
        long value = Long.parseLong(text);
        if (value < minimum || value > MAXIMUM_MICROS) {
            throw new IllegalArgumentException("The number is out of bounds.");
        }
        return value;
    }
}
