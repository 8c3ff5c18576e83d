package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ConfigurationDifference;
import io.masticpond.core.configuration.ConfigurationFault;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import java.util.List;

/**
 * Reason why an operator's command on the configuration failed. Nothing was changed unless the type
 * says otherwise.
 *
 * @since 0.1
 */
public sealed interface ConfigurationError {

    /**
     * Returns the reason as one sentence for operators.
     *
     * @return the sentence
     */
    String message();

    /**
     * The document is invalid.
     *
     * @param faults all faults of the document
     */
    record Invalid(List<ConfigurationFault> faults) implements ConfigurationError {

        @Override
        public String message() {
            return "The document has faults: " + faults.size() + ".";
        }
    }

    /**
     * The plan does not exist, or was deleted after it expired.
     *
     * @param plan the plan
     */
    record UnknownPlan(PlanId plan) implements ConfigurationError {

        @Override
        public String message() {
            return "There is no plan " + plan + ".";
        }
    }

    /**
     * The plan can no longer be confirmed.
     *
     * @param plan the plan
     */
    record PlanExpired(PlanId plan) implements ConfigurationError {

        @Override
        public String message() {
            return "The plan " + plan + " has expired; state the intent again.";
        }
    }

    /**
     * Another plan was accepted after this one was created.
     *
     * @param base the version that the plan is based on
     * @param current the current version
     * @param differences the known differences between the base and the current version
     */
    record BaseChanged(
            ConfigurationVersion base,
            ConfigurationVersion current,
            List<ConfigurationDifference> differences)
            implements ConfigurationError {

        @Override
        public String message() {
            return "The plan was made on version " + base + ", but now " + current + " stands.";
        }
    }

    /**
     * The platform cannot be reached, so plans can be neither created nor confirmed.
     *
     * @param message the reason as one sentence
     */
    record PlatformUnavailable(String message) implements ConfigurationError {}

    /**
     * The chain at the platform ends before the version in force at this instance: the platform has
     * lost versions, and a plan based on that chain would never come into force.
     *
     * @param chain the version at the head of the chain
     * @param inForce the version in force at this instance
     */
    record ChainBehind(ConfigurationVersion chain, ConfigurationVersion inForce)
            implements ConfigurationError {

        @Override
        public String message() {
            return "The platform's chain stands at version "
                    + chain
                    + ", but version "
                    + inForce
                    + " is in force: the platform has lost versions.";
        }
    }

    /**
     * The plan may or may not have been accepted. Confirming it again is safe and returns the
     * outcome.
     *
     * @param message the reason as one sentence
     */
    record Unsettled(String message) implements ConfigurationError {}

    /**
     * This instance is overloaded.
     *
     * @param message the reason as one sentence
     */
    record Busy(String message) implements ConfigurationError {}
}
