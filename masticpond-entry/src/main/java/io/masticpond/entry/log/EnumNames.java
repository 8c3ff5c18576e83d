package io.masticpond.entry.log;

import io.masticpond.core.support.Assert;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Names of enum constants as written in log lines, cached to avoid a new string per line. */
final class EnumNames {

    private static final Map<Exclusion, String> EXCLUSIONS = toName(Exclusion.class);
    private static final Map<RequestOutcome, String> OUTCOMES = toName(RequestOutcome.class);
    private static final Map<AttemptResult, String> RESULTS = toName(AttemptResult.class);
    private static final Map<UpdateSource, String> SOURCES = toName(UpdateSource.class);

    private EnumNames() {}

    static String of(Exclusion value) {
        return EXCLUSIONS.get(Assert.notNull(value, "An enum constant"));
    }

    static String of(RequestOutcome value) {
        return OUTCOMES.get(Assert.notNull(value, "An enum constant"));
    }

    static String of(AttemptResult value) {
        return RESULTS.get(Assert.notNull(value, "An enum constant"));
    }

    static String of(UpdateSource value) {
        return SOURCES.get(Assert.notNull(value, "An enum constant"));
    }

    /** Returns the name of a constant as written in a line; not cached. */
    static String toName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> Map<E, String> toName(Class<E> type) {
        Map<E, String> names = new EnumMap<>(type);
        for (E value : type.getEnumConstants()) {
            names.put(value, toName(value));
        }
        return names;
    }
}
