package io.masticpond.daemon.platform;

import java.util.Optional;

/**
 * Callback interface for the course of calls to the platform, used for metrics. Methods are called
 * from one thread and must return quickly.
 *
 * @since 0.1
 */
public interface PlatformObserver {

    /** Observer that ignores all events. */
    PlatformObserver NONE =
            new PlatformObserver() {
                @Override
                public void onAttempt(PlatformCallKind kind, String address) {}

                @Override
                public void onCallCompleted(
                        PlatformCallKind kind, Optional<PlatformError> error, long nanos) {}

                @Override
                public void onBreakerStateChanged(String address, Breaker.State state) {}
            };

    /**
     * Handles the start of an attempt, which the platform counts as one call.
     *
     * @param kind the kind of the call
     * @param address the address called
     */
    void onAttempt(PlatformCallKind kind, String address);

    /**
     * Handles the completion of a call with all its attempts.
     *
     * @param kind the kind of the call
     * @param error the error, or empty if the call succeeded
     * @param nanos the duration of the call, in nanoseconds
     */
    void onCallCompleted(PlatformCallKind kind, Optional<PlatformError> error, long nanos);

    /**
     * Handles a change of the state of a circuit breaker.
     *
     * @param address the address that the breaker guards
     * @param state the new state
     */
    void onBreakerStateChanged(String address, Breaker.State state);
}
