package io.masticpond.entry.replica;

/**
 * Hears from when on the store's word counts.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface SettledListener {

    /**
     * The writers have had time to write again what the store may have lost.
     *
     * @param era the era of the store
     * @param hadBefore whether that was so before this instance started, so that what it has read
     *     counts
     */
    void settled(long era, boolean hadBefore);
}
