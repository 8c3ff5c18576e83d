package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Update of the configuration that one instance sends to another: the last changes, or the whole
 * configuration.
 *
 * @param whole the whole configuration, if the changes alone are not sufficient
 * @param entries the changes in order without a gap, if there is no whole configuration
 * @since 0.1
 */
public record ConfigurationUpdate(
        Optional<Configuration> whole, List<ConfigurationLogEntry> entries) {

    /** Validates that exactly one of both is given, and that the changes have no gap. */
    public ConfigurationUpdate {
        whole = whole == null ? Optional.empty() : whole;
        entries = ConfigurationContent.copyOf(entries);
        Assert.isTrue(
                whole.isPresent() == entries.isEmpty(),
                "An update must have either a whole configuration or changes.");
        for (int i = 1; i < entries.size(); i++) {
            Assert.isTrue(
                    entries.get(i).version().equals(entries.get(i - 1).version().next()),
                    "The changes have a gap before version %s.",
                    entries.get(i).version());
        }
    }

    /**
     * Creates an update with a whole configuration.
     *
     * @param configuration the configuration
     * @return the update
     */
    public static ConfigurationUpdate of(Configuration configuration) {
        return new ConfigurationUpdate(Optional.of(configuration), List.of());
    }

    /**
     * Creates an update with changes.
     *
     * @param entries the changes, at least one
     * @return the update
     */
    public static ConfigurationUpdate of(List<ConfigurationLogEntry> entries) {
        return new ConfigurationUpdate(Optional.empty(), entries);
    }
}
