package io.masticpond.core.fleet;

/**
 * Revisions of the store, joined with the era that gave them out into one number that only ever
 * rises: a store that comes back from an older copy counts on from a lower revision, in a later
 * era.
 *
 * @since 0.3
 */
public final class StoreRevision {

    /** Leaves revisions for eighty years of four hundred changes a second. */
    private static final int ERA_SHIFT = 40;

    private static final long REVISION_MASK = (1L << ERA_SHIFT) - 1;

    /** The last era that can be told apart. */
    public static final long LAST_ERA = Long.MAX_VALUE >> ERA_SHIFT;

    private StoreRevision() {}

    /**
     * Joins the two.
     *
     * @param era the era, 0 for a store that tells none
     * @param revision the revision as the store gave it out
     * @return both, ordered by the era first
     */
    public static long of(long era, long revision) {
        return era << ERA_SHIFT | revision & REVISION_MASK;
    }

    /**
     * Gives the era.
     *
     * @param joined both
     * @return the era
     */
    public static long era(long joined) {
        return joined >> ERA_SHIFT;
    }

    /**
     * Gives the revision as the store knows it.
     *
     * @param joined both
     * @return the revision
     */
    public static long revision(long joined) {
        return joined & REVISION_MASK;
    }

    /**
     * Tells whether one is of an earlier era than another.
     *
     * @param joined the one
     * @param other the other
     * @return whether it is
     */
    public static boolean isOfEarlierEra(long joined, long other) {
        return era(joined) < era(other);
    }
}
