package io.masticpond.daemon.platform;

import io.masticpond.daemon.platform.CallBudget.Priority;

/**
 * Kinds of calls to the platform.
 *
 * @since 0.1
 */
public enum PlatformCallKind {
    /** Read of one object. */
    READ(false),
    /** Conditional update. */
    WRITE(true),
    /** Conditional deletion. */
    DELETE(true),
    /** Wait for a newer version, which counts as one call. */
    WATCH(false),
    /** Page of a list of names. */
    LIST(false),
    /** Read of the list of instances. */
    INSTANCES(false);

    private final boolean mMutating;

    PlatformCallKind(boolean mutating) {
        mMutating = mutating;
    }

    /**
     * Determines whether a call of this kind modifies an object and is therefore made only once.
     *
     * @return whether it modifies an object
     */
    public boolean isMutating() {
        return mMutating;
    }

    Priority priority() {
        return mMutating ? Priority.URGENT : Priority.ORDINARY;
    }

    /** Returns the error of a call whose answer is missing or cannot be decoded. */
    PlatformError lostAnswerError(String message) {
        return mMutating ? new PlatformError.Uncertain(message) : new PlatformError.Away(message);
    }
}
