package io.masticpond.core.configuration;

import io.masticpond.core.configuration.ConfigurationDifference.Kind;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Field-by-field comparison of two contents.
 *
 * <p>Entries of a list are matched by name: the first component of their record, or both regions of
 * a link. At most {@link #MAXIMUM} differences are returned.
 *
 * @since 0.1
 */
public final class ConfigurationDifferences {

    /** The maximum number of differences that are returned. */
    public static final int MAXIMUM = 1_000;

    private static final int MAXIMUM_TEXT_LENGTH = 200;

    private final List<ConfigurationDifference> mDifferences = new ArrayList<>();

    private ConfigurationDifferences() {}

    /**
     * Returns the differences between two contents.
     *
     * @param before the content before
     * @param after the content after
     * @return the differences in the order of the fields
     */
    public static List<ConfigurationDifference> between(
            ConfigurationContent before, ConfigurationContent after) {
        ConfigurationDifferences differences = new ConfigurationDifferences();
        differences.compareRecords("", before, after);
        return List.copyOf(differences.mDifferences);
    }

    /**
     * Returns the entries that changes put and remove, without knowledge of the content before.
     *
     * @param entries the changes in order
     * @return the differences; entries to put are returned as added
     */
    public static List<ConfigurationDifference> of(List<ConfigurationLogEntry> entries) {
        ConfigurationDifferences differences = new ConfigurationDifferences();
        for (ConfigurationLogEntry entry : entries) {
            ConfigurationChange change = entry.change();
            differences.compareRecords("", ConfigurationContent.EMPTY, change.put());
            differences.compareRecords("", change.remove(), ConfigurationRemoval.NONE);
        }
        return List.copyOf(differences.mDifferences);
    }

    private void compare(String path, Object before, Object after) {
        if (Objects.equals(before, after) || mDifferences.size() >= MAXIMUM) {
            return;
        }
        if (before instanceof Optional<?> first && after instanceof Optional<?> second) {
            compare(path, first.orElse(null), second.orElse(null));
            return;
        }
        if (before == null || after == null) {
            add(path, before == null ? Kind.ADDED : Kind.REMOVED, before, after);
            return;
        }
        if (before instanceof List<?> first && after instanceof List<?> second) {
            compareLists(path, first, second);
            return;
        }
        if (isSpecification(before) && isSpecification(after)) {
            compareRecords(path + ".", (Record) before, (Record) after);
            return;
        }
        add(path, Kind.CHANGED, before, after);
    }

    private void compareRecords(String prefix, Record before, Record after) {
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            compare(
                    prefix + component.getName(),
                    value(component, before),
                    value(component, after));
        }
    }

    private void compareLists(String path, List<?> before, List<?> after) {
        int countBefore = mDifferences.size();
        Map<String, Object> left = byName(before);
        Map<String, Object> right = byName(after);
        left.forEach((name, entry) -> compare(entryPath(path, name), entry, right.remove(name)));
        right.forEach((name, entry) -> compare(entryPath(path, name), null, entry));
        if (mDifferences.size() == countBefore) {
            add(path, Kind.CHANGED, "the order", "another order");
        }
    }

    private static String entryPath(String path, String name) {
        return path + "[" + name + "]";
    }

    private void add(String path, Kind kind, Object before, Object after) {
        if (mDifferences.size() < MAXIMUM) {
            mDifferences.add(new ConfigurationDifference(path, kind, text(before), text(after)));
        }
    }

    private static Map<String, Object> byName(List<?> entries) {
        Map<String, Object> entriesByName = new LinkedHashMap<>();
        entries.forEach(entry -> entriesByName.put(name(entry), entry));
        return entriesByName;
    }

    private static String name(Object entry) {
        if (entry instanceof LinkSpecification link) {
            return LinkKey.of(link).toString();
        }
        if (isSpecification(entry)) {
            return value(entry.getClass().getRecordComponents()[0], entry).toString();
        }
        return entry.toString();
    }

    /**
     * Determines whether a value is a record of this package. Ids are records too, but are compared
     * as a whole.
     */
    private static boolean isSpecification(Object value) {
        return value instanceof Record
                && value.getClass().getPackage().equals(ConfigurationContent.class.getPackage());
    }

    private static Object value(RecordComponent component, Object record) {
        try {
            return component.getAccessor().invoke(record);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("A record component could not be read.", e);
        }
    }

    private static String text(Object value) {
        if (value == null) {
            return "";
        }
        String text = value.toString();
        return text.length() <= MAXIMUM_TEXT_LENGTH
                ? text
                : text.substring(0, MAXIMUM_TEXT_LENGTH) + "…";
    }
}
