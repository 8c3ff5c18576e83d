package io.masticpond.testing.platform;

/**
 * What the faults in force make of one call.
 *
 * @since 0.1
 */
public enum PlatformCallDisposition {
    /** The call is served. */
    SERVED,
    /** The call is refused before it has an effect. */
    REFUSED,
    /** The call never gets an answer and has no effect. */
    IGNORED,
    /** The call takes effect, and its answer is lost. */
    ANSWER_LOST,
    /** The answer is lost at once, and the call takes effect only later. */
    EFFECT_LATE,
    /** The call takes effect, and its answer is not what the object API promises. */
    ANSWER_MALFORMED
}
