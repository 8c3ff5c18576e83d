package io.masticpond.core.reachability;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** State machine of the reachability of one service. */
final class ServiceReachability {

    private static final int FAILED_SERVERS = 2;
    private static final int ANSWER_TIMES = 3;
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Number of answered probes after which an unreachable service is reachable again. */
    private static final int ANSWERED_PROBES = 2;

    /** Maximum of that number for a service that was lost repeatedly. */
    private static final int MAXIMUM_ANSWERED_PROBES = 8;

    /** Time after a return within which another loss counts as repeated. */
    private static final long REPEATED_LOSS_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time for which the first refuted suspicion is not raised again. */
    private static final long MIN_TRUST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Callback interface for changes of the state. */
    @FunctionalInterface
    interface ChangeListener {

        /** Called after the state has changed. */
        void onChanged(ReachabilityView former, ReachabilityView current);
    }

    private final ServiceId mService;
    private final ChangeListener mListener;
    private final Map<BackendServerId, Long> mFailedNanos = new HashMap<>();
    private ReachabilityState mState = ReachabilityState.REACHABLE;
    private ReachabilityEvidence mEvidence = ReachabilityEvidence.ANSWERED;
    private long mSinceNanos;
    private int mPending;
    private long mSilentSinceNanos;
    private double mAnswerNanos;
    private boolean mHasReturned;
    private long mReturnedNanos;
    private long mLastAnswerNanos;
    private boolean mHasSuspected;
    private long mSuspectedNanos;
    private boolean mIsTrusted;
    private long mTrustedUntilNanos;
    private long mTrustNanos;
    private int mProbesToStart;
    private int mProbesInFlight;
    private int mAnsweredProbes;
    private int mRequiredProbes = ANSWERED_PROBES;
    private long mNextProbeNanos;
    private boolean mIsInconclusive;

    ServiceReachability(ServiceId service, long nowNanos, ChangeListener listener) {
        mService = service;
        mListener = listener;
        mSinceNanos = nowNanos;
        mLastAnswerNanos = nowNanos;
    }

    ReachabilityState state() {
        return mState;
    }

    ReachabilityView view() {
        return new ReachabilityView(mService, mState, mEvidence, mSinceNanos);
    }

    int pending() {
        return mPending;
    }

    /** Determines whether all probes failed although answers still arrive on older connections. */
    boolean isInconclusive() {
        return mIsInconclusive;
    }

    void sent(long nowNanos) {
        if (mPending == 0) {
            mSilentSinceNanos = nowNanos;
        }
        mPending++;
    }

    void ended() {
        mPending--;
    }

    void answered(long answerNanos, ReachabilitySettings settings, long nowNanos) {
        mSilentSinceNanos = nowNanos;
        mLastAnswerNanos = nowNanos;
        mAnswerNanos =
                mAnswerNanos == 0
                        ? answerNanos
                        : mAnswerNanos + SMOOTHING_FACTOR * (answerNanos - mAnswerNanos);
        boolean isSilenceOver =
                mState == ReachabilityState.SUSPECTED
                        && mEvidence == ReachabilityEvidence.NO_ANSWERS;
        if (isSilenceOver) {
            refute(ReachabilityEvidence.ANSWERED, settings, nowNanos);
        }
    }

    void restartSilence(long nowNanos) {
        mSilentSinceNanos = nowNanos;
    }

    boolean isSilent(ReachabilitySettings settings, long nowNanos) {
        long limitNanos =
                Math.max(settings.silence().toNanos(), (long) (ANSWER_TIMES * mAnswerNanos));
        return mPending > 0 && nowNanos - mSilentSinceNanos >= limitNanos;
    }

    /**
     * Records a failed connection; returns whether connections to several servers failed. Within
     * some time of a loss, one failed connection suffices, as a link that failed once often fails
     * again.
     */
    boolean failed(BackendServerId server, ReachabilitySettings settings, long nowNanos) {
        long windowNanos = settings.failureWindow().toNanos();
        mFailedNanos.values().removeIf(failedNanos -> nowNanos - failedNanos > windowNanos);
        mFailedNanos.put(server, nowNanos);
        return mFailedNanos.size() >= (isLostRecently(nowNanos) ? 1 : FAILED_SERVERS);
    }

    private boolean isLostRecently(long nowNanos) {
        return mHasReturned && nowNanos - mReturnedNanos < REPEATED_LOSS_NANOS;
    }

    /** Raises a suspicion unless there is one or the last one was refuted only just now. */
    void suspect(ReachabilityEvidence evidence, ReachabilitySettings settings, long nowNanos) {
        boolean isTrusted = mIsTrusted && nowNanos - mTrustedUntilNanos < 0;
        if (mState != ReachabilityState.REACHABLE || isTrusted) {
            return;
        }
        if (evidence.isOfConnections()) {
            mHasSuspected = true;
            mSuspectedNanos = nowNanos;
        }
        mProbesToStart = settings.probes();
        mProbesInFlight = 0;
        change(ReachabilityState.SUSPECTED, evidence, nowNanos);
    }

    /** Returns the number of probes that are due. */
    int dueProbes(long nowNanos) {
        return switch (mState) {
            case REACHABLE -> 0;
            case SUSPECTED -> mProbesToStart;
            case UNREACHABLE -> nowNanos - mNextProbeNanos >= 0 ? 1 : 0;
        };
    }

    void probeStarted(ReachabilitySettings settings, long nowNanos) {
        mProbesToStart = Math.max(0, mProbesToStart - 1);
        mProbesInFlight++;
        mNextProbeNanos = nowNanos + settings.probeInterval().toNanos();
    }

    /**
     * Records that no further server may be probed. Without any probe, requests are the only way to
     * find out, so the service counts as reachable.
     */
    void endProbing(ReachabilitySettings settings, long nowNanos) {
        mProbesToStart = 0;
        if (mState == ReachabilityState.REACHABLE || mProbesInFlight > 0 || mIsInconclusive) {
            return;
        }
        if (mState == ReachabilityState.UNREACHABLE) {
            returned(ReachabilityEvidence.NOT_PROBED, nowNanos);
        } else {
            refute(ReachabilityEvidence.NOT_PROBED, settings, nowNanos);
        }
    }

    /** Records the end of a probe. */
    void probeEnded(boolean isAnswered, ReachabilitySettings settings, long nowNanos) {
        mProbesInFlight = Math.max(0, mProbesInFlight - 1);
        switch (mState) {
            case REACHABLE -> {}
            case SUSPECTED -> suspicionProbed(isAnswered, settings, nowNanos);
            case UNREACHABLE -> lossProbed(isAnswered, nowNanos);
            default -> throw new IllegalStateException("The state is unknown.");
        }
    }

    private void suspicionProbed(boolean isAnswered, ReachabilitySettings settings, long nowNanos) {
        if (isAnswered) {
            refute(ReachabilityEvidence.PROBES_ANSWERED, settings, nowNanos);
            return;
        }
        if (mProbesInFlight > 0 || mProbesToStart > 0) {
            return;
        }
        if (mLastAnswerNanos - mSinceNanos > 0) {
            mIsInconclusive = true;
            return;
        }
        lose(ReachabilityEvidence.PROBES_UNANSWERED, nowNanos);
    }

    /** Concludes that the service is unreachable. */
    void lose(ReachabilityEvidence evidence, long nowNanos) {
        mRequiredProbes =
                isLostRecently(nowNanos)
                        ? Math.min(2 * mRequiredProbes, MAXIMUM_ANSWERED_PROBES)
                        : ANSWERED_PROBES;
        mAnsweredProbes = 0;
        mNextProbeNanos = nowNanos;
        change(ReachabilityState.UNREACHABLE, evidence, nowNanos);
    }

    private void lossProbed(boolean isAnswered, long nowNanos) {
        if (!isAnswered) {
            mAnsweredProbes = Math.max(0, mAnsweredProbes - 1);
            return;
        }
        mAnsweredProbes++;
        mNextProbeNanos = nowNanos;
        if (mAnsweredProbes < mRequiredProbes) {
            return;
        }
        returned(ReachabilityEvidence.PROBES_ANSWERED, nowNanos);
    }

    /** Concludes that a service is reachable again. The next failure raises a suspicion at once. */
    private void returned(ReachabilityEvidence evidence, long nowNanos) {
        mHasReturned = true;
        mReturnedNanos = nowNanos;
        mIsTrusted = false;
        becomeReachable(evidence, nowNanos);
    }

    /**
     * Concludes that a suspected service is reachable. The suspicion is not raised again for a time
     * that doubles with each refutation in a row, up to the failure window: a link may be lost just
     * after its first servers answered, while servers that fail must not cause probes all the time.
     */
    void refute(ReachabilityEvidence evidence, ReachabilitySettings settings, long nowNanos) {
        boolean isFirst = !mIsTrusted || nowNanos - mTrustedUntilNanos > REPEATED_LOSS_NANOS;
        long trustNanos = isFirst ? MIN_TRUST_NANOS : 2 * mTrustNanos;
        mTrustNanos = Math.min(trustNanos, settings.failureWindow().toNanos());
        mIsTrusted = true;
        mTrustedUntilNanos = nowNanos + mTrustNanos;
        becomeReachable(evidence, nowNanos);
    }

    private void becomeReachable(ReachabilityEvidence evidence, long nowNanos) {
        mFailedNanos.clear();
        mProbesToStart = 0;
        mSilentSinceNanos = nowNanos;
        change(ReachabilityState.REACHABLE, evidence, nowNanos);
    }

    /** Determines whether connections raised a suspicion recently, whatever the probes showed. */
    boolean isSuspectedRecently(long nowNanos) {
        return mHasSuspected && nowNanos - mSuspectedNanos < REPEATED_LOSS_NANOS;
    }

    /** Returns the share of the requests that is sent to servers directly. */
    double directShare(ReachabilitySettings settings, long nowNanos) {
        boolean isForwarded =
                mState == ReachabilityState.UNREACHABLE
                        || (mState == ReachabilityState.SUSPECTED && mEvidence.isOfConnections());
        if (isForwarded) {
            return 0;
        }
        return mHasReturned
                ? Math.min(1, (nowNanos - mReturnedNanos) / (double) settings.ramp().toNanos())
                : 1;
    }

    private void change(ReachabilityState state, ReachabilityEvidence evidence, long nowNanos) {
        ReachabilityView former = view();
        mState = state;
        mEvidence = evidence;
        mSinceNanos = nowNanos;
        mIsInconclusive = false;
        mListener.onChanged(former, view());
    }
}
