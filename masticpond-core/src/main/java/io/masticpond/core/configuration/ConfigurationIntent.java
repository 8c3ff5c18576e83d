package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Intent of an operator, from which a plan is made.
 *
 * @since 0.1
 */
public sealed interface ConfigurationIntent {

    /**
     * Returns the content that results from applying the intent.
     *
     * @param base the content in force
     * @return the resulting content
     */
    ConfigurationContent resultOn(ConfigurationContent base);

    /**
     * Returns the errors of the intent itself, regardless of the content to which it is applied.
     *
     * @return the faults
     */
    default List<ConfigurationFault> faults() {
        return List.of();
    }

    /**
     * Intent that replaces the whole content; entries that the new content does not contain are
     * removed.
     *
     * @param content the content
     */
    record Replace(ConfigurationContent content) implements ConfigurationIntent {

        /** Validates that the content is non-null. */
        public Replace {
            Assert.notNull(content, "A configuration content");
        }

        @Override
        public ConfigurationContent resultOn(ConfigurationContent base) {
            return content;
        }
    }

    /**
     * Intent that merges a change; entries that the change does not name are unchanged.
     *
     * @param change the change
     */
    record Merge(ConfigurationChange change) implements ConfigurationIntent {

        /** Validates that the change is non-null. */
        public Merge {
            Assert.notNull(change, "A configuration change");
        }

        @Override
        public ConfigurationContent resultOn(ConfigurationContent base) {
            return change.applyTo(base);
        }

        @Override
        public List<ConfigurationFault> faults() {
            return ConfigurationValidator.duplicates(change.put());
        }
    }
}
