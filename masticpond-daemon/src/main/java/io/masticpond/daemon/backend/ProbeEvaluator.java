package io.masticpond.daemon.backend;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.BackendServerSignal.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * State machine that converts the probe results of one backend server to signals, for use by a
 * single thread.
 *
 * <p>A refused connection means that the process has terminated, so the next response comes from a
 * new process. A single lost or late response is ignored: only several in a row count. A server
 * that begins to close its connections after each response is leaving; one that has always closed
 * them is not. A server that reported that it was leaving and then reports several times in a row
 * that it is healthy is staying.
 */
final class ProbeEvaluator {

    private static final int UNHEALTHY_FAILURES = 3;
    private static final int LEAVING_CLOSES = 2;
    private static final int STAYING_ANSWERS = 3;

    private Kind mLastKind = Kind.HEALTHY;
    private boolean mTerminated;
    private boolean mHasKeptConnections;
    private int mConsecutiveCloses;
    private int mConsecutiveFailures;
    private boolean mLeaving;
    private int mConsecutiveHealthyAnswers;

    List<BackendServerSignal> evaluate(ProbeResult result) {
        if (result instanceof ProbeResult.Health health) {
            return onHealth(health);
        }
        if (result instanceof ProbeResult.Load load) {
            return List.of(new BackendServerSignal(mLastKind, load.inFlight()));
        }
        return onFailure(result instanceof ProbeResult.Refused);
    }

    private List<BackendServerSignal> onHealth(ProbeResult.Health health) {
        List<BackendServerSignal> signals = new ArrayList<>();
        mConsecutiveFailures = 0;
        if (mTerminated) {
            mTerminated = false;
            mHasKeptConnections = false;
            mConsecutiveCloses = 0;
            mLeaving = false;
            signals.add(BackendServerSignal.of(Kind.STARTED));
        }
        mLastKind = kind(health);
        if (updateStaying()) {
            signals.add(BackendServerSignal.of(Kind.STAYING));
        }
        signals.add(new BackendServerSignal(mLastKind, health.inFlight()));
        return signals;
    }

    private Kind kind(ProbeResult.Health health) {
        mConsecutiveCloses = health.closes() ? mConsecutiveCloses + 1 : 0;
        mHasKeptConnections |= !health.closes();
        if (mHasKeptConnections && mConsecutiveCloses >= LEAVING_CLOSES) {
            return Kind.LEAVING;
        }
        return switch (health.status()) {
            case HEALTHY -> Kind.HEALTHY;
            case UNHEALTHY -> Kind.UNHEALTHY;
            case LEAVING -> Kind.LEAVING;
        };
    }

    /**
     * Records the last kind and determines whether a server that was leaving has been healthy for
     * enough responses in a row to count as staying.
     */
    private boolean updateStaying() {
        mConsecutiveHealthyAnswers = mLastKind == Kind.HEALTHY ? mConsecutiveHealthyAnswers + 1 : 0;
        mLeaving |= mLastKind == Kind.LEAVING;
        if (!mLeaving || mConsecutiveHealthyAnswers < STAYING_ANSWERS) {
            return false;
        }
        mLeaving = false;
        return true;
    }

    private List<BackendServerSignal> onFailure(boolean refused) {
        mTerminated |= refused;
        mConsecutiveFailures++;
        if (!refused && mConsecutiveFailures < UNHEALTHY_FAILURES) {
            return List.of();
        }
        mLastKind = Kind.UNHEALTHY;
        return List.of(BackendServerSignal.of(Kind.UNHEALTHY));
    }
}
