package io.masticpond.core.crash;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** State of one request during which servers ended. */
final class CrashSuspect {

    /**
     * Number of consecutive ends from which a request is suspected: one end is common, two in a row
     * are not.
     */
    static final int SUSPICIOUS_ENDS = 2;

    /** Time for which another instance's suspicion is considered. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Maximum number of instances whose conclusions are kept; further ones would not change the
     * result.
     */
    private static final int MAXIMUM_VERDICTS = 8;

    /**
     * Number of other instances that must report what this instance did not observe; one is enough
     * for a request that was rejected before.
     */
    private static final int REQUIRED_REPORTERS = 2;

    /** Conclusion of another instance and the time at which it was received. */
    private record ReceivedVerdict(CrashMessage.Verdict verdict, long receivedNanos) {

        boolean isRejection() {
            return verdict.rejections() > 0;
        }
    }

    private final RequestFingerprint mRequest;
    private final ServerEndHistory mServerEnds = new ServerEndHistory();
    private final Map<String, ReceivedVerdict> mVerdicts = new HashMap<>();

    private boolean mIsSuspected;
    private long mSuspectedNanos;
    private boolean mIsCleared;
    private long mClearedNanos;

    /** Number of ends that were reported to all instances. */
    int mAnnouncedEnds;

    int mRejections;
    boolean mIsRejected;
    long mRejectedNanos;
    long mRejectedUntilNanos;
    long mLastUpdateNanos;

    CrashSuspect(RequestFingerprint request) {
        mRequest = request;
    }

    RequestFingerprint request() {
        return mRequest;
    }

    ServerEndHistory serverEnds() {
        return mServerEnds;
    }

    /** Records the conclusion of another instance; only its latest one is kept. */
    void addVerdict(String sender, CrashMessage.Verdict verdict, long nowNanos) {
        if (mVerdicts.size() < MAXIMUM_VERDICTS || mVerdicts.containsKey(sender)) {
            mVerdicts.put(sender, new ReceivedVerdict(verdict, nowNanos));
        }
    }

    /**
     * Removes outdated suspicions of other instances; an instance that still suspects the request
     * reports it again with the next end.
     */
    void removeOutdatedSuspicions(long nowNanos) {
        mVerdicts
                .values()
                .removeIf(
                        received ->
                                !received.isRejection()
                                        && nowNanos - received.receivedNanos > SUSPICION_NANOS);
    }

    /**
     * Returns the number of consecutive ends that this instance assumes: those that reported ends
     * show, or those that other instances concluded.
     */
    int ends() {
        return Math.max(observedEnds(), reportedEnds());
    }

    /** Returns the number of consecutive ends that the ends known at this instance show. */
    int observedEnds() {
        return mServerEnds.consecutive(mRejections > 0 ? 1 : REQUIRED_REPORTERS);
    }

    private int reportedEnds() {
        int required = mServerEnds.own() > 0 || mRejections > 0 ? 1 : REQUIRED_REPORTERS;
        if (mVerdicts.size() < required) {
            return 0;
        }
        return mVerdicts.values().stream()
                .map(received -> received.verdict().ends())
                .sorted((first, second) -> second - first)
                .skip(required - 1L)
                .findFirst()
                .orElse(0);
    }

    /** Returns the highest number of rejections that other instances reported. */
    int reportedRejections() {
        return mVerdicts.values().stream()
                .mapToInt(received -> received.verdict().rejections())
                .max()
                .orElse(0);
    }

    /**
     * Returns the age of the latest rejection by other instances as of its report, or 0 if none
     * reported a rejection.
     */
    long reportedAgoNanos() {
        return mVerdicts.values().stream()
                .filter(ReceivedVerdict::isRejection)
                .mapToLong(received -> received.verdict().agoNanos())
                .min()
                .orElse(0);
    }

    int verdictReporters() {
        return mVerdicts.size();
    }

    /** Determines whether enough other instances report that they reject it. */
    boolean isReportedRejected() {
        long reporters = mVerdicts.values().stream().filter(ReceivedVerdict::isRejection).count();
        return reporters >= (mRejections > 0 || mServerEnds.own() > 0 ? 1 : REQUIRED_REPORTERS);
    }

    /**
     * Records whether it is suspected, with the time since which it is suspected without
     * interruption.
     */
    void setSuspected(boolean isSuspected, long nowNanos) {
        if (isSuspected && !mIsSuspected) {
            mSuspectedNanos = nowNanos;
        }
        mIsSuspected = isSuspected;
    }

    boolean isSuspectedFor(long nanos, long nowNanos) {
        return mIsSuspected && nowNanos - mSuspectedNanos >= nanos;
    }

    /** Discards the ends before a time and all conclusions, but not the number of rejections. */
    void discardBefore(long beforeNanos) {
        mIsSuspected = false;
        mIsRejected = false;
        mAnnouncedEnds = 0;
        mServerEnds.removeBefore(beforeNanos);
        mVerdicts.clear();
    }

    /** Discards everything that was found before now, including the number of rejections. */
    void clear(long nowNanos) {
        discardBefore(nowNanos);
        mRejections = 0;
        mIsCleared = true;
        mClearedNanos = nowNanos;
        mLastUpdateNanos = nowNanos;
    }

    boolean wasClearedAfter(long nanos) {
        return mIsCleared && mClearedNanos - nanos >= 0;
    }

    /**
     * Determines whether it is the first candidate for removal: it is not rejected, and this
     * instance did not observe an end.
     */
    boolean isUnconfirmed() {
        return !mIsRejected && mServerEnds.own() == 0;
    }

    /** Returns the current state of the request as assumed by this instance. */
    CrashView.State state() {
        if (mIsRejected) {
            return CrashView.State.REJECTED;
        }
        if (mRejections > 0) {
            return CrashView.State.ON_TRIAL;
        }
        return ends() >= SUSPICIOUS_ENDS ? CrashView.State.SUSPECTED : CrashView.State.NOTED;
    }

    /** Returns a view with the given state and its evidence. */
    CrashView view(CrashView.State state, long nowNanos) {
        return new CrashView(
                mRequest,
                state,
                ends(),
                mServerEnds.own(),
                mServerEnds.reporters(),
                verdictReporters(),
                mServerEnds.newestAgoNanos(nowNanos),
                mRejections,
                mIsRejected ? mRejectedUntilNanos - nowNanos : 0);
    }
}
