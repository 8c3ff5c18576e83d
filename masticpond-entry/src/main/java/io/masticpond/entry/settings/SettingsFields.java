package io.masticpond.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.ServerAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reader of the fields of one object of the settings. It records each field that is missing or
 * invalid; after an error it returns a placeholder, which only allows reading to continue.
 */
final class SettingsFields {

    private static final Duration PLACEHOLDER_TIME = Duration.ofSeconds(1);
    private static final ServerAddress PLACEHOLDER_ADDRESS = new ServerAddress("0.0.0.0", 1);

    private final JsonNode mNode;
    private final String mPath;
    private final List<String> mErrors;
    private final Set<String> mKnown = new TreeSet<>();
    private final List<SettingsFields> mObjects = new ArrayList<>();

    SettingsFields(JsonNode node, String path, List<String> errors) {
        mNode = node;
        mPath = path;
        mErrors = errors;
    }

    SettingsFields object(String field) {
        if (!mNode.path(field).isObject()) {
            mErrors.add(String.format("%s must be given and be an object.", path(field)));
        }
        return optionalObject(field);
    }

    SettingsFields optionalObject(String field) {
        SettingsFields fields = new SettingsFields(get(field), path(field) + ".", mErrors);
        mObjects.add(fields);
        return fields;
    }

    /** Returns the objects of a list, which must be given and not be empty. */
    List<SettingsFields> objects(String field) {
        List<SettingsFields> objects = new ArrayList<>();
        JsonNode list = get(field);
        for (JsonNode element : list) {
            String path = path(field) + "[" + objects.size() + "]";
            if (!element.isObject()) {
                mErrors.add(String.format("%s must be an object.", path));
            }
            objects.add(new SettingsFields(element, path + ".", mErrors));
        }
        if (!list.isArray() || objects.isEmpty()) {
            mErrors.add(String.format("%s must be given and be a list with entries.", path(field)));
        }
        mObjects.addAll(objects);
        return objects;
    }

    /** Records that a field is invalid. The sentence continues after the field's name. */
    void refuse(String field, String sentence, Object value) {
        mErrors.add(path(field) + " " + String.format(sentence, value) + ".");
    }

    /** Returns a field as it is, and records it as known. */
    JsonNode get(String field) {
        mKnown.add(field);
        return mNode.path(field);
    }

    /** Records as an error each field, in this object and those below, that was never read. */
    void refuseUnknown() {
        mNode.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!mKnown.contains(field)) {
                                mErrors.add(
                                        String.format(
                                                "%s is not known; here may be %s.",
                                                path(field), String.join(", ", mKnown)));
                            }
                        });
        mObjects.forEach(SettingsFields::refuseUnknown);
    }

    JsonNode node() {
        return mNode;
    }

    String path(String field) {
        return mPath + field;
    }

    boolean isGiven(String field) {
        return !text(field).isEmpty();
    }

    <T> T required(String field, String kind, T placeholder, Function<String, T> reader) {
        if (!isGiven(field)) {
            mErrors.add(String.format("%s must be given, and be %s.", path(field), kind));
            return placeholder;
        }
        return read(path(field), text(field), kind, placeholder, reader);
    }

    <T> T optional(String field, String kind, T fallback, Function<String, T> reader) {
        if (!isGiven(field)) {
            return fallback;
        }
        return read(path(field), text(field), kind, fallback, reader);
    }

    <T> T read(String path, String text, String kind, T placeholder, Function<String, T> reader) {
        try {
            return reader.apply(text);
        } catch (IllegalArgumentException exception) {
            mErrors.add(String.format("%s must be %s, but was '%s'.", path, kind, text));
            return placeholder;
        }
    }

    ServerAddress address(String field) {
        return required(field, "an address as ip:port", PLACEHOLDER_ADDRESS, ServerAddress::parse);
    }

    Duration time(String field) {
        return required(field, Durations.KIND, PLACEHOLDER_TIME, Durations::parse);
    }

    Duration time(String field, Duration fallback) {
        return optional(field, Durations.KIND, fallback, Durations::parse);
    }

    int whole(String field, int fallback) {
        return optional(field, "a whole number from 0", fallback, SettingsFields::parseWhole);
    }

    /**
     * Reads a limit that a platform specifies. A fraction is truncated, and a value above the range
     * of an {@code int} is reduced to its maximum.
     */
    int limit(String field, int fallback) {
        return optional(
                field,
                "a number from 0",
                fallback,
                text -> (int) Math.min(Integer.MAX_VALUE, parseFraction(text)));
    }

    double fraction(String field, double fallback) {
        return optional(field, "a number from 0", fallback, SettingsFields::parseFraction);
    }

    boolean flag(String field, boolean fallback) {
        return optional(field, "true or false", fallback, SettingsFields::parseFlag);
    }

    private static boolean parseFlag(String text) {
        if (!text.equals("true") && !text.equals("false")) {
            throw new IllegalArgumentException("The text is neither true nor false.");
        }
        return text.equals("true");
    }

    private static int parseWhole(String text) {
        int value = Integer.parseInt(text);
        if (value < 0) {
            throw new IllegalArgumentException("The number is negative.");
        }
        return value;
    }

    private static double parseFraction(String text) {
        double value = Double.parseDouble(text);
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException("The number is negative or not finite.");
        }
        return value;
    }

    private String text(String field) {
        return get(field).asText("").trim();
    }
}
