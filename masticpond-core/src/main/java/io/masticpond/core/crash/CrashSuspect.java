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

    /** Time after a refutation within which a suspicion was sent before it. */
    private static final long TRANSMISSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

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

    private boolean mIsRefuted;
    private long mRefutedNanos;
    private boolean mIsSuspected;
    private long mSuspectedNanos;
    private boolean mIsCleared;
    private long mClearedNanos;

    /**
     * Maximum number of doublings; ten doublings of two hours exceed the lifetime of any process.
     */
    private static final int MAXIMUM_DOUBLINGS = 10;

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

    /**
     * Returns the number of ends from which the request is suspected. A trial is one send: a
     * request that crashes a server then is not sent to a second one.
     */
    int suspicionThreshold() {
        return mRejections > 0 ? 0 : SUSPICIOUS_ENDS;
    }

    /** Returns how long the latest rejection lasts. */
    long rejectionNanos(CrashSettings settings) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, mRejections - 1);
        return settings.hold().toNanos() << doublings;
    }

    /** Returns what this instance concludes, as reported to others. */
    CrashMessage.Verdict verdict(CrashSettings settings, long nowNanos) {
        long sinceNanos = mIsRejected ? mRejectedNanos : nowNanos;
        return new CrashMessage.Verdict(
                mRequest,
                mIsRejected ? Math.max(settings.ends(), ends()) : ends(),
                mIsRejected ? mRejections : 0,
                Math.max(0, nowNanos - sinceNanos));
    }

    /** Records the conclusion of another instance; only its latest one is kept. */
    void addVerdict(String sender, CrashMessage.Verdict verdict, long nowNanos) {
        boolean isOvertaken = mIsRefuted && nowNanos - mRefutedNanos < TRANSMISSION_NANOS;
        if (isOvertaken && verdict.rejections() == 0) {
            return;
        }
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

    /** Returns the number of consecutive ends if every instance that reports one is believed. */
    int reportedByAny() {
        return mServerEnds.consecutive(1);
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

    /**
     * Discards the end of a server that turned out to be running, and the suspicions of other
     * instances, which report them again with the next end.
     */
    void discardEnd(long serverHash, long endedNanos, long nowNanos) {
        mServerEnds.remove(serverHash, endedNanos);
        mIsRefuted = true;
        mRefutedNanos = nowNanos;
        mVerdicts.values().removeIf(received -> !received.isRejection());
        mAnnouncedEnds = Math.min(mAnnouncedEnds, observedEnds());
        setSuspected(ends() >= SUSPICIOUS_ENDS, nowNanos);
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
