package io.masticpond.entry.log;

import io.masticpond.core.support.Assert;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Spells constants in lines, without making a new text each time. */
final class EnumNames {

    private static final Map<Exclusion, String> EXCLUSIONS = toName(Exclusion.class);
    private static final Map<RequestOutcome, String> OUTCOMES = toName(RequestOutcome.class);
    private static final Map<AttemptResult, String> RESULTS = toName(AttemptResult.class);
    private static final Map<UpdateSource, String> SOURCES = toName(UpdateSource.class);

    private EnumNames() {}

    static String of(Exclusion value) {
        return EXCLUSIONS.get(Assert.notNull(value, "A constant to spell"));
    }

    static String of(RequestOutcome value) {
        return OUTCOMES.get(Assert.notNull(value, "A constant to spell"));
    }

    static String of(AttemptResult value) {
        return RESULTS.get(Assert.notNull(value, "A constant to spell"));
    }

    static String of(UpdateSource value) {
        return SOURCES.get(Assert.notNull(value, "A constant to spell"));
    }

    /** Spells a constant that is seldom needed. */
    static String toName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <E extends Enum<E>> Map<E, String> toName(Class<E> type) {
        Map<E, String> words = new EnumMap<>(type);
        for (E value : type.getEnumConstants()) {
            words.put(value, toName(value));
        }
        return words;
    }
}
