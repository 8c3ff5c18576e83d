package io.masticpond.daemon.platform;

import java.util.Optional;

/**
 * Error of a call to the platform. The simple names of the subtypes are metric labels and must not
 * change.
 *
 * @since 0.1
 */
public sealed interface PlatformError {

    /**
     * Returns a description of one sentence.
     *
     * @return the sentence
     */
    String message();

    /**
     * The platform is unreachable, slow or refuses work; a write had no effect.
     *
     * @param message one sentence
     */
    record Away(String message) implements PlatformError {}

    /**
     * The answer to a write was lost: the write may have taken effect or may still do so.
     *
     * @param message one sentence
     */
    record Uncertain(String message) implements PlatformError {}

    /**
     * The condition of a write did not hold; it had no effect.
     *
     * @param current the current object, if it exists and the platform returned it
     */
    record Conflict(Optional<StoredObject> current) implements PlatformError {

        @Override
        public String message() {
            return "The object has another version than expected.";
        }
    }

    /**
     * The budget of calls is exhausted for the moment; no call was made.
     *
     * @param message one sentence
     */
    record OverBudget(String message) implements PlatformError {}

    /**
     * The platform rejected the call as invalid; a retry cannot succeed.
     *
     * @param message one sentence
     */
    record Rejected(String message) implements PlatformError {}
}
