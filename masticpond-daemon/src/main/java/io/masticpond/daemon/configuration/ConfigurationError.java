package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ConfigurationDifference;
import io.masticpond.core.configuration.ConfigurationFault;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import java.util.List;

/**
 * Says why an operator's command about the configuration failed; nothing changed unless it says so.
 *
 * @since 0.1
 */
public sealed interface ConfigurationError {

    /**
     * Gives one sentence for people.
     *
     * @return the sentence
     */
    String message();

    /**
     * The document is wrong.
     *
     * @param faults everything that is wrong with it
     */
    record Invalid(List<ConfigurationFault> faults) implements ConfigurationError {

        @Override
        public String message() {
            return "The document has faults: " + faults.size() + ".";
        }
    }

    /**
     * There is no such plan, or it expired long ago.
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
     * Another plan was accepted since this one was made.
     *
     * @param base the version that the plan was made on
     * @param current the version that stands now
     * @param differences what changed since the base, as far as it is known
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
     * The platform cannot be reached, so plans can be neither made nor confirmed.
     *
     * @param message one sentence
     */
    record PlatformUnavailable(String message) implements ConfigurationError {}

    /**
     * The chain at the platform stands before the version in force here: the platform has lost
     * versions, and a plan made on it would never come into force.
     *
     * @param chain the version of the chain
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
     * The plan may or may not have been accepted; confirming it again is safe and tells.
     *
     * @param message one sentence
     */
    record Unsettled(String message) implements ConfigurationError {}

    /**
     * This instance has too much to do.
     *
     * @param message one sentence
     */
    record Busy(String message) implements ConfigurationError {}
}
