package io.masticpond.testing.platform;

/**
 * Disposition of a call under the current faults.
 *
 * @since 0.1
 */
public enum PlatformCallDisposition {
    /** The call is served. */
    SERVED,
    /** The call is refused before it has an effect. */
    REFUSED,
    /** The call never gets a response and has no effect. */
    IGNORED,
    /** The call takes effect, and its response is lost. */
    ANSWER_LOST,
    /** The response is lost at once, and the call takes effect after the delay. */
    EFFECT_LATE,
    /** The call takes effect, and its response violates the contract of the object API. */
    ANSWER_MALFORMED
}
