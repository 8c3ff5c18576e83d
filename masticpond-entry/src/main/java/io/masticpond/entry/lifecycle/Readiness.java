package io.masticpond.entry.lifecycle;

import java.util.function.BooleanSupplier;

/**
 * Condition under which this instance takes new clients. As thread-safe as the suppliers that it
 * queries.
 *
 * @since 0.2
 */
public final class Readiness {

    private final BooleanSupplier mSnapshotUsable;
    private final BooleanSupplier mListening;
    private final BooleanSupplier mStopping;

    /**
     * Creates a readiness that combines the given conditions.
     *
     * @param snapshotUsable whether routes and backend servers are known well enough to serve
     * @param listening whether clients can connect
     * @param stopping whether a planned stop has begun
     */
    public Readiness(
            BooleanSupplier snapshotUsable, BooleanSupplier listening, BooleanSupplier stopping) {
        mSnapshotUsable = snapshotUsable;
        mListening = listening;
        mStopping = stopping;
    }

    /**
     * Returns whether this instance takes new clients now.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return !mStopping.getAsBoolean()
                && mListening.getAsBoolean()
                && mSnapshotUsable.getAsBoolean();
    }
}
