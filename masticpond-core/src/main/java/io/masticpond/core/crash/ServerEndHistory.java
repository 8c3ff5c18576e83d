package io.masticpond.core.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * History of the ends of backend servers during one request, as known at this instance.
 *
 * <p>A server that ends is usually processing many requests, and many servers end at the same
 * moment when an availability zone loses power. Therefore only consecutive ends count, in which the
 * request was sent to the next server after the previous one had ended. Being at one such server by
 * chance is common, at three in a row without an answer is not.
 */
final class ServerEndHistory {

    /**
     * Tolerance between observations: the ends of servers that fail at the same moment are observed
     * within this time of each other, and two instances observe the same end by their own clocks
     * and connections up to this far apart.
     */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    /**
     * Two ends of a server within this time are the same one, since a server needs longer to start
     * in between.
     */
    private static final long SAME_END_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Maximum number of ends in the history; more add no information. */
    private static final int MAXIMUM_ENDS = 16;

    /** End of a server with the instance that observed it; an empty reporter is this instance. */
    private record ObservedEnd(String reporter, long serverHash, long sentNanos, long endedNanos) {}

    private final List<ObservedEnd> mEnds = new ArrayList<>();

    /** Adds an end and removes the oldest one if there are too many. */
    void add(String reporter, long serverHash, long sentNanos, long endedNanos) {
        boolean isKnown =
                mEnds.stream()
                        .anyMatch(
                                end ->
                                        end.serverHash == serverHash
                                                && end.reporter.equals(reporter)
                                                && isSameEnd(end, endedNanos));
        if (isKnown) {
            return;
        }
        mEnds.add(new ObservedEnd(reporter, serverHash, sentNanos, endedNanos));
        mEnds.sort(Comparator.comparingLong(end -> end.endedNanos - endedNanos));
        if (mEnds.size() > MAXIMUM_ENDS) {
            mEnds.remove(0);
        }
    }

    private static boolean isSameEnd(ObservedEnd end, long endedNanos) {
        return Math.abs(end.endedNanos - endedNanos) < SAME_END_NANOS;
    }

    /** Removes the ends before a time. */
    void removeBefore(long nanos) {
        mEnds.removeIf(end -> end.endedNanos - nanos < 0);
    }

    /** Removes an end of a server, whoever observed it. */
    void remove(long serverHash, long endedNanos) {
        mEnds.removeIf(end -> end.serverHash == serverHash && isSameEnd(end, endedNanos));
    }

    boolean isEmpty() {
        return mEnds.isEmpty();
    }

    /**
     * Returns the maximum number of consecutive ends. Taking the earliest matching end each time
     * yields the maximum (interval scheduling). The result is 0 if this instance observed none of
     * them and fewer other instances than required did, since one of those may be faulty.
     */
    int consecutive(int requiredReporters) {
        if (own() == 0 && reporters() < requiredReporters) {
            return 0;
        }
        int count = 0;
        ObservedEnd last = null;
        for (ObservedEnd end : mEnds) {
            if (last == null || follows(last, end)) {
                last = end;
                count++;
            }
        }
        return count;
    }

    private static boolean follows(ObservedEnd last, ObservedEnd end) {
        if (last.serverHash == end.serverHash && isSameEnd(last, end.endedNanos)) {
            return false;
        }
        boolean isSameClock = last.reporter.equals(end.reporter);
        return end.sentNanos - last.endedNanos >= (isSameClock ? 0 : -TOLERANCE_NANOS)
                && end.endedNanos - last.endedNanos >= TOLERANCE_NANOS;
    }

    int own() {
        return (int) mEnds.stream().filter(end -> end.reporter.isEmpty()).count();
    }

    int reporters() {
        Set<String> reporters = new HashSet<>();
        mEnds.forEach(end -> reporters.add(end.reporter));
        return reporters.size();
    }

    /** Returns the time since the latest end, or -1 if there is none. */
    long newestAgoNanos(long nowNanos) {
        return mEnds.isEmpty()
                ? -1
                : Math.max(0, nowNanos - mEnds.get(mEnds.size() - 1).endedNanos);
    }
}
