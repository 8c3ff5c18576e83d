package io.masticpond.core.request;

/**
 * Reason why a request was not answered, with the corresponding HTTP status.
 *
 * @since 0.1
 */
public enum RefusalCause {
    /** The request is malformed. */
    BAD_REQUEST("bad-request", 400),
    /** The service, operation or route does not exist. */
    NOT_FOUND("not-found", 404),
    /**
     * The operation key was not issued by this system, was altered, or belongs to another request.
     */
    BAD_OPERATION_KEY("bad-operation-key", 422),
    /** A request with the same operation key is in progress. */
    OPERATION_IN_PROGRESS("operation-in-progress", 409),
    /**
     * The home instance of the operation key has terminated; the operation will not run any more.
     */
    OPERATION_HOME_GONE("operation-home-gone", 410),
    /**
     * The operation key expired and its outcome is no longer stored; the operation will not run any
     * more.
     */
    OPERATION_KEY_EXPIRED("operation-key-expired", 410),
    /** The operation ran, but its answer was too large to be stored for repeated requests. */
    OPERATION_ANSWER_NOT_KEPT("operation-answer-not-kept", 410),
    /** The instance stores its maximum number of operation keys. */
    OPERATION_STORE_FULL("operation-store-full", 503),
    /** No slot is available before the deadline. */
    NO_CAPACITY("no-capacity", 503),
    /** The queue of the instance is full. */
    QUEUE_FULL("queue-full", 503),
    /** The link between locations has no remaining share. */
    LINK_FULL("link-full", 503),
    /** The spending cap of the shift is reached. */
    SPENDING_CAP("spending-cap", 429),
    /** The deadline passed. */
    DEADLINE("deadline", 504),
    /** No backend server can be reached. */
    NO_BACKEND_SERVER("no-backend-server", 503),
    /** The connection to the backend server broke before a complete answer. */
    BACKEND_FAILED("backend-failed", 502),
    /** The backend server stated that it shed the request. */
    BACKEND_SHED("backend-shed", 503),
    /** The connection to another instance was lost. */
    INSTANCE_LOST("instance-lost", 502),
    /** The instance has no configuration yet, or is stopping. */
    NOT_READY("not-ready", 503),
    /** The platform cannot be reached and the request needs it. */
    PLATFORM_AWAY("platform-away", 503),
    /** The caller disconnected. */
    CANCELLED("cancelled", 499);

    private final String mText;
    private final int mStatus;

    RefusalCause(String text, int status) {
        mText = text;
        mStatus = status;
    }

    /**
     * Returns the text form used in answers, metrics and the timeline.
     *
     * @return the words joined by hyphens
     */
    public String text() {
        return mText;
    }

    /**
     * Returns the HTTP status that corresponds to the cause.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return mStatus;
    }
}
