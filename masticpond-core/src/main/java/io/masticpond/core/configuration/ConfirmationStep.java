package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import java.util.List;

/**
 * What a confirmation asks its owner to do next, or how it ended.
 *
 * @since 0.1
 */
public sealed interface ConfirmationStep {

    /** Read the head of the chain and report it. */
    record ReadHead() implements ConfirmationStep {}

    /**
     * Write the head if its object still has the expected version, and report how that ended. A
     * checkpoint of the same version without parts is written first.
     *
     * @param head the head to write
     * @param expectedObjectVersion the version that the object must have
     */
    record WriteHead(ConfigurationHead head, long expectedObjectVersion)
            implements ConfirmationStep {

        /**
         * Tells whether the whole content must be written to parts first.
         *
         * @return whether the checkpoint is of the version to write
         */
        public boolean needsCheckpoint() {
            return head.checkpoint().version().equals(head.version());
        }
    }

    /**
     * The plan was accepted.
     *
     * @param version the version that it became
     */
    record Accepted(ConfigurationVersion version) implements ConfirmationStep {}

    /**
     * The plan was not accepted and never will be, since another one was.
     *
     * @param current the version that stands now
     * @param entries the changes since the plan's base, as far as they are known
     */
    record BaseChanged(ConfigurationVersion current, List<ConfigurationLogEntry> entries)
            implements ConfirmationStep {}

    /** Nothing was written, since the platform is away. */
    record Unavailable() implements ConfirmationStep {}

    /**
     * The plan may have been accepted or may still be; confirming it again tells.
     *
     * @param plan the plan
     */
    record Unsettled(PlanId plan) implements ConfirmationStep {}
}
