package io.masticpond.daemon.operator;

/**
 * Control of the drain of this instance. Implementations must be thread-safe and must not block.
 *
 * @since 0.1
 */
public interface DrainControl {

    /** Starts to drain this instance; has no effect if a drain is in progress. */
    void drain();

    /**
     * Cancels a drain.
     *
     * @return whether this instance serves again; {@code false} once it is stopping
     */
    boolean undrain();
}
