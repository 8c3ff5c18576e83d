package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import java.util.List;

/**
 * Step of a {@link ConfigurationConfirmation}: an action that its caller must perform next, or the
 * result of the confirmation.
 *
 * @since 0.1
 */
public sealed interface ConfirmationStep {

    /**
     * Step that requires the caller to read the head of the chain and pass it to the confirmation.
     */
    record ReadHead() implements ConfirmationStep {}

    /**
     * Step that requires the caller to write the head if its object still has the expected version,
     * and to pass the outcome to the confirmation. A checkpoint of the same version without parts
     * must be written first.
     *
     * @param head the head to write
     * @param expectedObjectVersion the version that the object must have for the write to take
     *     effect
     */
    record WriteHead(ConfigurationHead head, long expectedObjectVersion)
            implements ConfirmationStep {

        /**
         * Determines whether the whole content must be written to parts first.
         *
         * @return {@code true} if the checkpoint has the version of the head to write
         */
        public boolean needsCheckpoint() {
            return head.checkpoint().version().equals(head.version());
        }
    }

    /**
     * Result: the plan was accepted.
     *
     * @param version the version that the plan produced
     */
    record Accepted(ConfigurationVersion version) implements ConfirmationStep {}

    /**
     * Result: the plan was not accepted and never will be, because another plan was accepted.
     *
     * @param current the current version
     * @param entries the changes since the plan's base, or an empty list if they are no longer
     *     known
     */
    record BaseChanged(ConfigurationVersion current, List<ConfigurationLogEntry> entries)
            implements ConfirmationStep {}

    /** Result: nothing was written because the platform is unavailable. */
    record Unavailable() implements ConfirmationStep {}

    /**
     * Result: the plan may have been accepted or may still be accepted. Confirming it again
     * determines the outcome.
     *
     * @param plan the plan
     */
    record Unsettled(PlanId plan) implements ConfirmationStep {}
}
