package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * What one instance tells another of the configuration: the last changes, or the whole content.
 *
 * @param whole the whole configuration, if the changes alone would not do
 * @param entries the changes in order without a gap, if there is no whole configuration
 * @since 0.1
 */
public record ConfigurationUpdate(
        Optional<Configuration> whole, List<ConfigurationLogEntry> entries) {

    /** Checks that there is one of both, and that the changes have no gap. */
    public ConfigurationUpdate {
        whole = whole == null ? Optional.empty() : whole;
        entries = ConfigurationContent.copyOf(entries);
        Assert.isTrue(
                whole.isPresent() == entries.isEmpty(),
                "News must have either a whole configuration or changes.");
        for (int i = 1; i < entries.size(); i++) {
            Assert.isTrue(
                    entries.get(i).version().equals(entries.get(i - 1).version().next()),
                    "The changes have a gap before version %s.",
                    entries.get(i).version());
        }
    }

    /**
     * Tells of a whole configuration.
     *
     * @param configuration the configuration
     * @return the news
     */
    public static ConfigurationUpdate of(Configuration configuration) {
        return new ConfigurationUpdate(Optional.of(configuration), List.of());
    }

    /**
     * Tells of changes.
     *
     * @param entries the changes, at least one
     * @return the news
     */
    public static ConfigurationUpdate of(List<ConfigurationLogEntry> entries) {
        return new ConfigurationUpdate(Optional.empty(), entries);
    }
}
