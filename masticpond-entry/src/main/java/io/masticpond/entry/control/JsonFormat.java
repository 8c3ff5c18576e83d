package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Utility methods that format values in control documents in the same way as in the log. */
final class JsonFormat {

    private static final double STEPS_PER_UNIT = 1_000;

    private JsonFormat() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String toName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static double rounded(double value) {
        return Math.round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT;
    }

    static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
