package io.masticpond.daemon.backend;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.BackendServerSignal.Kind;
import java.util.ArrayList;
import java.util.List;

/**
 * Turns the answers of one backend server to probes into signs; a state machine for one thread.
 *
 * <p>A refused connection means that the process is gone, so the next answer is one of a new
 * process. A lost or late answer means little by itself: only several in a row count. A server that
 * begins to close its connections after each answer is leaving; one that always did is not. A
 * server that said it was leaving and then answers well several times in a row is staying.
 */
final class ProbeEvaluator {

    private static final int FAILURES_TO_TELL = 3;
    private static final int CLOSES_TO_TELL = 2;
    private static final int ANSWERS_TO_STAY = 3;

    private Kind mLastKind = Kind.HEALTHY;
    private boolean mGone;
    private boolean mKeptConnections;
    private int mCloses;
    private int mFailures;
    private boolean mLeaving;
    private int mStays;

    List<BackendServerSignal> evaluate(ProbeResult end) {
        if (end instanceof ProbeResult.Health health) {
            return answered(health);
        }
        if (end instanceof ProbeResult.Load load) {
            return List.of(new BackendServerSignal(mLastKind, load.inFlight()));
        }
        return failed(end instanceof ProbeResult.Refused);
    }

    private List<BackendServerSignal> answered(ProbeResult.Health health) {
        List<BackendServerSignal> signs = new ArrayList<>();
        mFailures = 0;
        if (mGone) {
            mGone = false;
            mKeptConnections = false;
            mCloses = 0;
            mLeaving = false;
            signs.add(BackendServerSignal.of(Kind.STARTED));
        }
        mLastKind = kind(health);
        if (staysAfterAll()) {
            signs.add(BackendServerSignal.of(Kind.STAYING));
        }
        signs.add(new BackendServerSignal(mLastKind, health.inFlight()));
        return signs;
    }

    private Kind kind(ProbeResult.Health health) {
        mCloses = health.closes() ? mCloses + 1 : 0;
        mKeptConnections |= !health.closes();
        if (mKeptConnections && mCloses >= CLOSES_TO_TELL) {
            return Kind.LEAVING;
        }
        return switch (health.status()) {
            case HEALTHY -> Kind.HEALTHY;
            case UNHEALTHY -> Kind.UNHEALTHY;
            case LEAVING -> Kind.LEAVING;
        };
    }

    /** Tells whether a server that said it was leaving has said otherwise for long enough. */
    private boolean staysAfterAll() {
        mStays = mLastKind == Kind.HEALTHY ? mStays + 1 : 0;
        mLeaving |= mLastKind == Kind.LEAVING;
        if (!mLeaving || mStays < ANSWERS_TO_STAY) {
            return false;
        }
        mLeaving = false;
        return true;
    }

    private List<BackendServerSignal> failed(boolean refused) {
        mGone |= refused;
        mFailures++;
        if (!refused && mFailures < FAILURES_TO_TELL) {
            return List.of();
        }
        mLastKind = Kind.UNHEALTHY;
        return List.of(BackendServerSignal.of(Kind.UNHEALTHY));
    }
}
