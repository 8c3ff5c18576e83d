package io.masticpond.daemon.instance;

/**
 * Reason why a call to another instance returned no answer, and whether the request may have
 * arrived.
 *
 * @since 0.1
 */
public sealed interface LinkError {

    /**
     * Returns a description of the error.
     *
     * @return one sentence
     */
    String message();

    /**
     * Returns whether the other instance may have acted on the request or may still do so.
     *
     * @return {@code false} only if the other instance certainly has not acted on it and will not
     */
    boolean mayHaveArrived();

    /**
     * Error of a request of which no byte was written, and none will be.
     *
     * @param message one sentence
     */
    record NotSent(String message) implements LinkError {

        @Override
        public boolean mayHaveArrived() {
            return false;
        }
    }

    /**
     * Error of a request that was not sent because the queue to the other instance was full.
     *
     * @param message one sentence
     */
    record QueueFull(String message) implements LinkError {

        @Override
        public boolean mayHaveArrived() {
            return false;
        }
    }

    /**
     * Error of a request that the other instance received and declined without acting on it.
     *
     * @param message one sentence
     */
    record Refused(String message) implements LinkError {

        @Override
        public boolean mayHaveArrived() {
            return false;
        }
    }

    /**
     * Error of a request whose connection was lost after writing the request had begun.
     *
     * @param message one sentence
     */
    record Lost(String message) implements LinkError {

        @Override
        public boolean mayHaveArrived() {
            return true;
        }
    }

    /**
     * Error of a request that was not answered in time; writing the request may have begun.
     *
     * @param message one sentence
     */
    record Timeout(String message) implements LinkError {

        @Override
        public boolean mayHaveArrived() {
            return true;
        }
    }
}
