package io.masticpond.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Bounded collection of the tracked requests, with a defined iteration order. */
final class CrashSuspects {

    /** Maximum number of tracked requests; each takes about 300 bytes. */
    static final int MAXIMUM_SUSPECTS = 1_024;

    private final Map<RequestFingerprint, CrashSuspect> mSuspects = new LinkedHashMap<>();

    /** Number of tracked requests for each checksum. */
    private final Map<Integer, Integer> mChecksums = new HashMap<>();

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    /** Determines whether a request with the given checksum is tracked. */
    boolean contains(int checksum) {
        return mChecksums.containsKey(checksum);
    }

    /** Returns a request, or {@code null} if it is not tracked. */
    CrashSuspect get(RequestFingerprint request) {
        return mSuspects.get(request);
    }

    void remove(RequestFingerprint request) {
        if (mSuspects.remove(request) != null) {
            mChecksums.compute(
                    request.checksum(), (checksum, count) -> count == 1 ? null : count - 1);
        }
    }

    /** Returns a copy of all requests, so that a loop may remove some. */
    List<CrashSuspect> all() {
        return List.copyOf(mSuspects.values());
    }

    /** Moves a request to the end of the iteration order. */
    void moveToEnd(CrashSuspect suspect) {
        mSuspects.remove(suspect.request());
        mSuspects.put(suspect.request(), suspect);
    }

    CrashSuspect add(RequestFingerprint request, long nowNanos) {
        if (mSuspects.size() >= MAXIMUM_SUSPECTS) {
            removeLeastRelevant(nowNanos);
        }
        CrashSuspect suspect = new CrashSuspect(request);
        suspect.mLastUpdateNanos = nowNanos;
        mSuspects.put(request, suspect);
        mChecksums.merge(request.checksum(), 1, Integer::sum);
        return suspect;
    }

    /**
     * Removes one request that is not rejected, with preference for those of which this instance
     * observed no end; a rejected one only if all are rejected. Of several, removes the one with
     * the oldest update.
     */
    private void removeLeastRelevant(long nowNanos) {
        Collection<CrashSuspect> all = mSuspects.values();
        Comparator<CrashSuspect> oldest =
                Comparator.comparingLong(suspect -> suspect.mLastUpdateNanos - nowNanos);
        all.stream()
                .min(
                        Comparator.comparing((CrashSuspect each) -> !each.isUnconfirmed())
                                .thenComparing(each -> each.mIsRejected)
                                .thenComparing(oldest))
                .ifPresent(suspect -> remove(suspect.request()));
    }
}
