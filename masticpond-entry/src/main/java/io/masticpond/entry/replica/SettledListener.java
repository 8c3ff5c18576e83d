package io.masticpond.entry.replica;

/**
 * Callback interface for the moment from which the contents of the store are authoritative.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface SettledListener {

    /**
     * Called when the writers have had time to write again what the store may have lost.
     *
     * @param era the era of the store
     * @param settledBeforeStart whether the store had settled before this instance started, so that
     *     what it has read so far is valid
     */
    void settled(long era, boolean settledBeforeStart);
}
