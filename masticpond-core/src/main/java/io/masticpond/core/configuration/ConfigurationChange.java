package io.masticpond.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Change that is merged into a content: entries to put, each as a whole under its name, and entries
 * to remove.
 *
 * <p>An entry is a region, link, service, site or client block. An entry to put replaces the entry
 * of the same name at its position, or is appended if there is none. Instances also send each other
 * changes in place of the whole content.
 *
 * @param put the entries to put
 * @param remove the entries to remove
 * @since 0.1
 */
public record ConfigurationChange(ConfigurationContent put, ConfigurationRemoval remove) {

    /** The change without any entries. */
    public static final ConfigurationChange NONE =
            new ConfigurationChange(ConfigurationContent.EMPTY, ConfigurationRemoval.NONE);

    /** Replaces components that are {@code null} by empty ones. */
    public ConfigurationChange {
        put = put == null ? ConfigurationContent.EMPTY : put;
        remove = remove == null ? ConfigurationRemoval.NONE : remove;
    }

    /**
     * Computes the change from one content to another.
     *
     * <p>Applying the change to {@code before} results in the entries of {@code after}. Entries
     * that both contain keep the order of {@code before}.
     *
     * @param before the content before
     * @param after the content after
     * @return the change
     */
    public static ConfigurationChange between(
            ConfigurationContent before, ConfigurationContent after) {
        ConfigurationContent put =
                new ConfigurationContent(
                        added(before.regions(), after.regions(), RegionSpecification::id),
                        added(before.links(), after.links(), LinkKey::of),
                        added(before.services(), after.services(), ServiceSpecification::id),
                        added(before.sites(), after.sites(), SiteSpecification::id),
                        added(
                                before.clientBlocks(),
                                after.clientBlocks(),
                                ClientBlockSpecification::block));
        ConfigurationRemoval remove =
                new ConfigurationRemoval(
                        removed(before.regions(), after.regions(), RegionSpecification::id),
                        removed(before.links(), after.links(), LinkKey::of),
                        removed(before.services(), after.services(), ServiceSpecification::id),
                        removed(before.sites(), after.sites(), SiteSpecification::id),
                        removed(
                                before.clientBlocks(),
                                after.clientBlocks(),
                                ClientBlockSpecification::block));
        return new ConfigurationChange(put, remove);
    }

    /**
     * Applies the change to a content.
     *
     * @param base the content to change
     * @return the changed content
     */
    public ConfigurationContent applyTo(ConfigurationContent base) {
        return new ConfigurationContent(
                merge(base.regions(), put.regions(), remove.regions(), RegionSpecification::id),
                merge(base.links(), put.links(), remove.links(), LinkKey::of),
                merge(base.services(), put.services(), remove.services(), ServiceSpecification::id),
                merge(base.sites(), put.sites(), remove.sites(), SiteSpecification::id),
                merge(
                        base.clientBlocks(),
                        put.clientBlocks(),
                        remove.clientBlocks(),
                        ClientBlockSpecification::block));
    }

    /**
     * Determines whether the change has no entries.
     *
     * @return {@code true} if the change neither puts nor removes entries
     */
    public boolean isEmpty() {
        return equals(NONE);
    }

    private static <T, K> List<T> merge(
            List<T> base, List<T> put, List<K> remove, Function<T, K> key) {
        if (put.isEmpty() && remove.isEmpty()) {
            return base;
        }
        Map<K, T> merged = new LinkedHashMap<>();
        base.forEach(entry -> merged.put(key.apply(entry), entry));
        remove.forEach(merged::remove);
        put.forEach(entry -> merged.put(key.apply(entry), entry));
        return List.copyOf(merged.values());
    }

    private static <T, K> List<T> added(List<T> before, List<T> after, Function<T, K> key) {
        Map<K, T> known = new LinkedHashMap<>();
        before.forEach(entry -> known.put(key.apply(entry), entry));
        return after.stream().filter(entry -> !entry.equals(known.get(key.apply(entry)))).toList();
    }

    private static <T, K> List<K> removed(List<T> before, List<T> after, Function<T, K> key) {
        Set<K> remaining = new HashSet<>();
        after.forEach(entry -> remaining.add(key.apply(entry)));
        List<K> removed = new ArrayList<>();
        for (T entry : before) {
            if (!remaining.contains(key.apply(entry))) {
                removed.add(key.apply(entry));
            }
        }
        return removed;
    }
}
