package io.masticpond.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The requests that are followed, a bounded number, in an order that can be gone through. */
final class CrashSuspects {

    /** Requests that are followed at most; about 300 bytes each. */
    static final int MAXIMUM_SUSPECTS = 1_024;

    private final Map<RequestFingerprint, CrashSuspect> mSuspects = new LinkedHashMap<>();

    /** How many of them have each checksum. */
    private final Map<Integer, Integer> mChecksums = new HashMap<>();

    boolean isEmpty() {
        return mSuspects.isEmpty();
    }

    /** Tells whether a request with a checksum is followed. */
    boolean has(int checksum) {
        return mChecksums.containsKey(checksum);
    }

    /** Finds a request; null if it is not followed. */
    CrashSuspect get(RequestFingerprint request) {
        return mSuspects.get(request);
    }

    void remove(RequestFingerprint request) {
        if (mSuspects.remove(request) != null) {
            mChecksums.compute(
                    request.checksum(), (checksum, count) -> count == 1 ? null : count - 1);
        }
    }

    /** Gives all, for a loop that may remove some. */
    List<CrashSuspect> all() {
        return List.copyOf(mSuspects.values());
    }

    /** Puts a request behind the others. */
    void moveToEnd(CrashSuspect suspect) {
        mSuspects.remove(suspect.request());
        mSuspects.put(suspect.request(), suspect);
    }

    CrashSuspect add(RequestFingerprint request, long nowNanos) {
        if (mSuspects.size() >= MAXIMUM_SUSPECTS) {
            makeRoom(nowNanos);
        }
        CrashSuspect suspect = new CrashSuspect(request);
        suspect.mTouchedNanos = nowNanos;
        mSuspects.put(request, suspect);
        mChecksums.merge(request.checksum(), 1, Integer::sum);
        return suspect;
    }

    /** Drops what is known by hearsay first, then what is not rejected, the oldest of it. */
    private void makeRoom(long nowNanos) {
        Collection<CrashSuspect> all = mSuspects.values();
        Comparator<CrashSuspect> oldest =
                Comparator.comparingLong(suspect -> suspect.mTouchedNanos - nowNanos);
        all.stream()
                .min(
                        Comparator.comparing((CrashSuspect each) -> !each.isUnconfirmed())
                                .thenComparing(each -> each.mIsRejected)
                                .thenComparing(oldest))
                .ifPresent(suspect -> remove(suspect.request()));
    }
}
