package io.masticpond.core.membership;

/** Sums up a run and its leaving flag in one number; sums of them do not depend on the order. */
final class MemberDigest {

    private static final long FACTOR = 0x9e3779b97f4a7c15L;
    private static final int SHIFT = 29;

    private MemberDigest() {}

    static long of(MemberUpdate news) {
        long mixed = news.id().value().hashCode() * FACTOR;
        mixed = (mixed ^ news.incarnation().number()) * FACTOR;
        mixed = (mixed ^ (news.leaving() ? 1 : 0)) * FACTOR;
        return mixed ^ (mixed >>> SHIFT);
    }
}
