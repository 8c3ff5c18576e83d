package io.masticpond.entry.replica;

import java.time.Duration;

/**
 * Callback interface for the loss and the recovery of this instance's access to the platform's
 * store.
 *
 * @since 0.2
 */
public interface StoreListener {

    /** Called when no call to the store has succeeded for a while. */
    void storeLost();

    /**
     * Called when a call to the store has succeeded again.
     *
     * @param outage how long no call succeeded
     */
    void storeRegained(Duration outage);
}
