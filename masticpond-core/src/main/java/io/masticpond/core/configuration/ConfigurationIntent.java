package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * What an operator wants, before a plan was made of it.
 *
 * @since 0.1
 */
public sealed interface ConfigurationIntent {

    /**
     * Tells the content that the operator wants.
     *
     * @param base the content in force
     * @return the content wanted
     */
    ConfigurationContent resultOn(ConfigurationContent base);

    /**
     * Finds what is wrong with the intent itself, whatever it is applied to.
     *
     * @return the faults
     */
    default List<ConfigurationFault> faults() {
        return List.of();
    }

    /**
     * The whole content; entries that it does not have go away.
     *
     * @param content the content
     */
    record Replace(ConfigurationContent content) implements ConfigurationIntent {

        /** Checks that the content is given. */
        public Replace {
            Assert.notNull(content, "A configuration content");
        }

        @Override
        public ConfigurationContent resultOn(ConfigurationContent base) {
            return content;
        }
    }

    /**
     * A merge change; entries that it does not name stay.
     *
     * @param change the change
     */
    record Merge(ConfigurationChange change) implements ConfigurationIntent {

        /** Checks that the change is given. */
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
