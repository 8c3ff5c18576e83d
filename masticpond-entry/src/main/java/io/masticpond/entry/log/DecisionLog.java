package io.masticpond.entry.log;

/**
 * Strategy interface for recording the decisions and view changes of an instance, so that operators
 * can investigate a fault afterwards. Implementations are thread-safe, and no method blocks or
 * throws an exception.
 *
 * @since 0.2
 */
public interface DecisionLog {

    /** Implementation that discards all records. */
    DecisionLog NONE =
            new DecisionLog() {
                @Override
                public void requestEnded(RequestRecord request) {}

                @Override
                public void requestRetried(RequestRecord request) {}

                @Override
                public void viewChanged(ViewChange change) {}

                @Override
                public void processChanged(ProcessChange change) {}
            };

    /**
     * Logs a completed request as one line with all inputs of its decisions.
     *
     * @param request the completed request, which must not be changed any more
     */
    void requestEnded(RequestRecord request);

    /**
     * Logs immediately that an attempt failed and that the request is retried on another backend
     * server. To be called after {@link RequestRecord#attemptEnded} and before the next attempt.
     *
     * @param request the request, which is still in progress and is not retained
     */
    void requestRetried(RequestRecord request);

    /**
     * Logs a change in what this instance knows of the fleet.
     *
     * @param change the change
     */
    void viewChanged(ViewChange change);

    /**
     * Logs a start, stop or reload of this process.
     *
     * @param change the change of the process
     */
    void processChanged(ProcessChange change);
}
