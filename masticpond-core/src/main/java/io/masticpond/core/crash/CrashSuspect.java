package io.masticpond.core.crash;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What is known of one request under which servers ended. */
final class CrashSuspect {

    /** One end is common, two in a row are not. */
    static final int SUSPICIOUS_ENDS = 2;

    /** So long does another instance's suspicion count. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Conclusions of more instances than this add nothing. */
    private static final int MAXIMUM_VERDICTS = 8;

    /**
     * So many other instances must say what this one saw nothing of; one is enough for a request
     * that was rejected before.
     */
    private static final int REQUIRED_REPORTERS = 2;

    /** A conclusion and when it was heard. */
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

    /** How many ends all were told of. */
    int mAnnounced;

    int mRejections;
    boolean mIsRejected;
    long mRejectedNanos;
    long mHeldUntilNanos;
    long mTouchedNanos;

    CrashSuspect(RequestFingerprint request) {
        mRequest = request;
    }

    RequestFingerprint request() {
        return mRequest;
    }

    ServerEndHistory serverEnds() {
        return mServerEnds;
    }

    /** Takes what another instance concluded; only its newest word counts. */
    void addVerdict(String teller, CrashMessage.Verdict verdict, long nowNanos) {
        if (mVerdicts.size() < MAXIMUM_VERDICTS || mVerdicts.containsKey(teller)) {
            mVerdicts.put(teller, new ReceivedVerdict(verdict, nowNanos));
        }
    }

    /** Forgets what others suspected a while ago; who still does says so with the next end. */
    void forgetSuspicions(long nowNanos) {
        mVerdicts
                .values()
                .removeIf(
                        word ->
                                !word.isRejection()
                                        && nowNanos - word.receivedNanos > SUSPICION_NANOS);
    }

    /** Counts the ends in a row that are believed: by own marks, or as others concluded. */
    int ends() {
        return Math.max(seenEnds(), reportedEnds());
    }

    /** Counts the ends in a row that the reports which came here show. */
    int seenEnds() {
        return mServerEnds.consecutive(mRejections > 0 ? 1 : REQUIRED_REPORTERS);
    }

    private int reportedEnds() {
        int needed = mServerEnds.own() > 0 || mRejections > 0 ? 1 : REQUIRED_REPORTERS;
        if (mVerdicts.size() < needed) {
            return 0;
        }
        return mVerdicts.values().stream()
                .map(word -> word.verdict().ends())
                .sorted((one, other) -> other - one)
                .skip(needed - 1L)
                .findFirst()
                .orElse(0);
    }

    /** Gives how often it was rejected before, as far as is believed. */
    int reportedRejections() {
        return mVerdicts.values().stream()
                .mapToInt(word -> word.verdict().rejections())
                .max()
                .orElse(0);
    }

    /** Gives how long ago the newest conclusion of the others was made, when it was told. */
    long reportedAgoNanos() {
        return mVerdicts.values().stream()
                .filter(ReceivedVerdict::isRejection)
                .mapToLong(word -> word.verdict().agoNanos())
                .min()
                .orElse(0);
    }

    int verdictReporters() {
        return mVerdicts.size();
    }

    /** Tells whether anybody rejects it, as far as is believed. */
    boolean isReportedRejected() {
        long tellers = mVerdicts.values().stream().filter(ReceivedVerdict::isRejection).count();
        return tellers >= (mRejections > 0 || mServerEnds.own() > 0 ? 1 : REQUIRED_REPORTERS);
    }

    /** Notes whether it is suspected; the time since which it is without a break counts. */
    void suspected(boolean isSuspected, long nowNanos) {
        if (isSuspected && !mIsSuspected) {
            mSuspectedNanos = nowNanos;
        }
        mIsSuspected = isSuspected;
    }

    boolean isSuspectedFor(long nanos, long nowNanos) {
        return mIsSuspected && nowNanos - mSuspectedNanos >= nanos;
    }

    /** Forgets what was found out before a time, but not how often it was rejected. */
    void forget(long beforeNanos) {
        mIsSuspected = false;
        mIsRejected = false;
        mAnnounced = 0;
        mServerEnds.forgetBefore(beforeNanos);
        mVerdicts.clear();
    }

    /** Forgets all that was found out before now. */
    void clear(long nowNanos) {
        forget(nowNanos);
        mRejections = 0;
        mIsCleared = true;
        mClearedNanos = nowNanos;
        mTouchedNanos = nowNanos;
    }

    boolean wasClearedAfter(long nanos) {
        return mIsCleared && mClearedNanos - nanos >= 0;
    }

    /** Tells whether dropping it loses least: nothing is decided, and nobody here saw an end. */
    boolean isUnconfirmed() {
        return !mIsRejected && mServerEnds.own() == 0;
    }

    /** Tells what is believed of it now. */
    CrashView.State state() {
        if (mIsRejected) {
            return CrashView.State.REJECTED;
        }
        if (mRejections > 0) {
            return CrashView.State.ON_TRIAL;
        }
        return ends() >= SUSPICIOUS_ENDS ? CrashView.State.SUSPECTED : CrashView.State.NOTED;
    }

    /** Gives a belief with what it rests on. */
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
                mIsRejected ? mHeldUntilNanos - nowNanos : 0);
    }
}
