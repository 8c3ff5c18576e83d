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
    private static final int MOST_TELLERS = 8;

    /**
     * So many other instances must say what this one saw nothing of; one is enough for a request
     * that was rejected before.
     */
    private static final int REQUIRED_REPORTERS = 2;

    /** A conclusion and when it was heard. */
    private record Word(CrashMessage.Verdict verdict, long heardNanos) {

        boolean isRejection() {
            return verdict.rejections() > 0;
        }
    }

    private final RequestFingerprint mRequest;
    private final EndMarks mMarks = new EndMarks();
    private final Map<String, Word> mTold = new HashMap<>();

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

    EndMarks marks() {
        return mMarks;
    }

    /** Takes what another instance concluded; only its newest word counts. */
    void told(String teller, CrashMessage.Verdict verdict, long nowNanos) {
        if (mTold.size() < MOST_TELLERS || mTold.containsKey(teller)) {
            mTold.put(teller, new Word(verdict, nowNanos));
        }
    }

    /** Forgets what others suspected a while ago; who still does says so with the next end. */
    void forgetSuspicions(long nowNanos) {
        mTold.values()
                .removeIf(
                        word ->
                                !word.isRejection()
                                        && nowNanos - word.heardNanos > SUSPICION_NANOS);
    }

    /** Counts the ends in a row that are believed: by own marks, or as others concluded. */
    int ends() {
        return Math.max(seenEnds(), toldEnds());
    }

    /** Counts the ends in a row that the reports which came here show. */
    int seenEnds() {
        return mMarks.consecutive(mRejections > 0 ? 1 : REQUIRED_REPORTERS);
    }

    private int toldEnds() {
        int needed = mMarks.own() > 0 || mRejections > 0 ? 1 : REQUIRED_REPORTERS;
        if (mTold.size() < needed) {
            return 0;
        }
        return mTold.values().stream()
                .map(word -> word.verdict().ends())
                .sorted((one, other) -> other - one)
                .skip(needed - 1L)
                .findFirst()
                .orElse(0);
    }

    /** Gives how often it was rejected before, as far as is believed. */
    int toldRejections() {
        return mTold.values().stream()
                .mapToInt(word -> word.verdict().rejections())
                .max()
                .orElse(0);
    }

    /** Gives how long ago the newest conclusion of the others was made, when it was told. */
    long toldAgoNanos() {
        return mTold.values().stream()
                .filter(Word::isRejection)
                .mapToLong(word -> word.verdict().agoNanos())
                .min()
                .orElse(0);
    }

    int tellers() {
        return mTold.size();
    }

    /** Tells whether anybody rejects it, as far as is believed. */
    boolean isToldRejected() {
        long tellers = mTold.values().stream().filter(Word::isRejection).count();
        return tellers >= (mRejections > 0 || mMarks.own() > 0 ? 1 : REQUIRED_REPORTERS);
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
        mMarks.forgetBefore(beforeNanos);
        mTold.clear();
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
    boolean isHearsay() {
        return !mIsRejected && mMarks.own() == 0;
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
                mMarks.own(),
                mMarks.reporters(),
                tellers(),
                mMarks.newestAgoNanos(nowNanos),
                mRejections,
                mIsRejected ? mHeldUntilNanos - nowNanos : 0);
    }
}
