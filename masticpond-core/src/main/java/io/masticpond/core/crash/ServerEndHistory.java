package io.masticpond.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The ends of backend servers that one request saw, as far as they are known at this instance.
 *
 * <p>Many requests are at work at a server that ends, and many servers end at one moment when a
 * zone loses power. So only ends that follow each other count: the request was sent to the next
 * server after the one before had ended. Being there once by chance is common, three times in a row
 * without an answer is not.
 */
final class ServerEndHistory {

    /**
     * Servers that end at one moment are seen to within this time, and two instances learn of one
     * end by their own clocks and ways as far apart.
     */
    private static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /** A server that ends again has started in between, which takes longer. */
    private static final long SAME_END_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** More tell nothing new. */
    private static final int MAXIMUM_ENDS = 16;

    /** An end, with the instance that saw it; no reporter is this instance. */
    private record ObservedEnd(String reporter, long serverHash, long sentNanos, long endedNanos) {}

    private final List<ObservedEnd> mEnds = new ArrayList<>();

    /** Adds an end; the oldest makes room for it. */
    void add(String reporter, long serverHash, long sentNanos, long endedNanos) {
        boolean isKnown =
                mEnds.stream()
                        .anyMatch(
                                mark ->
                                        mark.serverHash == serverHash
                                                && mark.reporter.equals(reporter)
                                                && isSameEnd(mark, endedNanos));
        if (isKnown) {
            return;
        }
        mEnds.add(new ObservedEnd(reporter, serverHash, sentNanos, endedNanos));
        mEnds.sort(Comparator.comparingLong(mark -> mark.endedNanos - endedNanos));
        if (mEnds.size() > MAXIMUM_ENDS) {
            mEnds.remove(0);
        }
    }

    private static boolean isSameEnd(ObservedEnd mark, long endedNanos) {
        return Math.abs(mark.endedNanos - endedNanos) < SAME_END_NANOS;
    }

    /** Forgets the ends before a time. */
    void forgetBefore(long nanos) {
        mEnds.removeIf(mark -> mark.endedNanos - nanos < 0);
    }

    boolean isEmpty() {
        return mEnds.isEmpty();
    }

    /**
     * Counts the ends that follow each other. Taking the earliest end that fits each time gives the
     * most (interval scheduling). They count for nothing if this instance saw none of them and
     * fewer others than needed did: one of those may be broken.
     */
    int consecutive(int neededReporters) {
        if (own() == 0 && reporters() < neededReporters) {
            return 0;
        }
        int count = 0;
        ObservedEnd last = null;
        for (ObservedEnd mark : mEnds) {
            if (last == null || follows(last, mark)) {
                last = mark;
                count++;
            }
        }
        return count;
    }

    private static boolean follows(ObservedEnd last, ObservedEnd mark) {
        if (last.serverHash == mark.serverHash && isSameEnd(last, mark.endedNanos)) {
            return false;
        }
        boolean isSameClock = last.reporter.equals(mark.reporter);
        return mark.sentNanos - last.endedNanos >= (isSameClock ? 0 : -SLACK_NANOS)
                && mark.endedNanos - last.endedNanos >= SLACK_NANOS;
    }

    int own() {
        return (int) mEnds.stream().filter(mark -> mark.reporter.isEmpty()).count();
    }

    int reporters() {
        Set<String> reporters = new HashSet<>();
        mEnds.forEach(mark -> reporters.add(mark.reporter));
        return reporters.size();
    }

    /** Gives how long ago the newest end was, -1 if there is none. */
    long newestAgoNanos(long nowNanos) {
        return mEnds.isEmpty()
                ? -1
                : Math.max(0, nowNanos - mEnds.get(mEnds.size() - 1).endedNanos);
    }
}
