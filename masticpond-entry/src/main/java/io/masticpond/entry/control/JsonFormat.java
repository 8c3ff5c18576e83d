package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Forms of values in the documents, as in the log. */
final class JsonFormat {

    private static final double STEPS = 1_000;

    private JsonFormat() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String toName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static double rounded(double value) {
        return Math.round(value * STEPS) / STEPS;
    }

    static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
