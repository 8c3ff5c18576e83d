package io.masticpond.core.fleet;

/**
 * Utility methods that combine a revision of the store and its era into one number that never
 * decreases. A store that is restored from an older copy continues from a lower revision, but in a
 * later era.
 *
 * @since 0.3
 */
public final class StoreRevision {

    /** 40 bits hold the revisions of eighty years at four hundred changes per second. */
    private static final int ERA_SHIFT = 40;

    private static final long REVISION_MASK = (1L << ERA_SHIFT) - 1;

    /** The highest era that can be represented. */
    public static final long LAST_ERA = Long.MAX_VALUE >> ERA_SHIFT;

    private StoreRevision() {}

    /**
     * Combines an era and a revision.
     *
     * @param era the era, or 0 for a store that reports none
     * @param revision the revision as assigned by the store
     * @return the combined revision, ordered by era first
     */
    public static long of(long era, long revision) {
        return era << ERA_SHIFT | revision & REVISION_MASK;
    }

    /**
     * Returns the era of a combined revision.
     *
     * @param combined the combined revision
     * @return the era
     */
    public static long era(long combined) {
        return combined >> ERA_SHIFT;
    }

    /**
     * Returns the revision as assigned by the store.
     *
     * @param combined the combined revision
     * @return the revision
     */
    public static long revision(long combined) {
        return combined & REVISION_MASK;
    }

    /**
     * Determines whether a combined revision is of an earlier era than another.
     *
     * @param combined the combined revision
     * @param other the combined revision to compare with
     * @return {@code true} if its era is earlier
     */
    public static boolean isOfEarlierEra(long combined, long other) {
        return era(combined) < era(other);
    }
}
