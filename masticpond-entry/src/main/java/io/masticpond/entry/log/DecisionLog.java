package io.masticpond.entry.log;

/**
 * Takes what an instance decides and believes, for people who look into a fault later. Safe for all
 * threads; no method blocks or fails.
 *
 * @since 0.2
 */
public interface DecisionLog {

    /** Takes everything and keeps nothing. */
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
     * Logs a request at its end: one line with all that it rested on.
     *
     * @param request the request, ended; it must not be changed any more
     */
    void requestEnded(RequestRecord request);

    /**
     * Logs at once that an attempt failed and the request goes to another backend server. Call it
     * after {@link RequestRecord#attemptEnded} and before the next attempt.
     *
     * @param request the request, which goes on and is not kept
     */
    void requestRetried(RequestRecord request);

    /**
     * Logs a change of what this instance believes.
     *
     * @param change the change
     */
    void viewChanged(ViewChange change);

    /**
     * Logs a start, stop or reload.
     *
     * @param change what happened
     */
    void processChanged(ProcessChange change);
}
