package io.masticpond.core.membership;

/** Hash of a run and its leaving flag. The sum of several hashes does not depend on their order. */
final class MemberDigest {

    private static final long FACTOR = 0x9e3779b97f4a7c15L;
    private static final int SHIFT = 29;

    private MemberDigest() {}

    static long of(MemberUpdate update) {
        long mixed = update.id().value().hashCode() * FACTOR;
        mixed = (mixed ^ update.incarnation().number()) * FACTOR;
        mixed = (mixed ^ (update.leaving() ? 1 : 0)) * FACTOR;
        return mixed ^ (mixed >>> SHIFT);
    }
}
