package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;

/** State of one backend server at its admitter: its slots, its answers and its ejection. */
final class BackendServerState implements ServerCandidate {

    private final HeldSlots mHeld;
    private final WithheldSlots mWithheld;
    private final RampIn mRampIn;
    private final ServerRecord mRecord = new ServerRecord();
    private final EjectionState mEjectionState;
    private BackendServerSpecification mSpecification;
    private AdmissionShare mShare = AdmissionShare.FAIR_SHARE;
    private int mFairSlots;
    private boolean mLeavingSignal;
    private long mLastDispatchNanos;

    /**
     * Creates the state of a server without requests in flight.
     *
     * @param specification the specification of the operators
     * @param settings the limits and rates
     * @param nanos the current monotonic time, in nanoseconds
     */
    BackendServerState(
            BackendServerSpecification specification, AdmissionSettings settings, long nanos) {
        mSpecification = specification;
        mHeld = new HeldSlots(settings.reportLag().toNanos(), nanos);
        mWithheld = new WithheldSlots(settings);
        mRampIn = new RampIn(settings.rampIn());
        mEjectionState = new EjectionState(settings.outliers());
    }

    /**
     * Applies a new specification. A leaving signal of the server stays in force until the
     * operators revoke that it is leaving, or change its address.
     *
     * @param specification the new specification of the same server
     * @param nanos the current monotonic time, in nanoseconds
     */
    void applySpecification(BackendServerSpecification specification, long nanos) {
        boolean moved = !specification.address().equals(mSpecification.address());
        boolean undrained = mSpecification.leaving() && !specification.leaving();
        mSpecification = specification;
        if (moved || undrained) {
            startRampIn(nanos);
        }
    }

    /**
     * Sets the slots that may be used.
     *
     * @param share the share
     * @param fairSlots the slots in the static fair share
     */
    void setShare(AdmissionShare share, int fairSlots) {
        mShare = share;
        mFairSlots = fairSlots;
    }

    /**
     * Opens the server with the initial limit of the ramp-in.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void startRampIn(long nanos) {
        mLeavingSignal = false;
        mRampIn.start(nanos);
    }

    /**
     * Handles a restart of the server: no request that was sent before is still running.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void started(long nanos) {
        startRampIn(nanos);
        mHeld.restarted(nanos);
        mWithheld.clear();
        mRecord.reset();
        mEjectionState.reset();
    }

    /** Closes the server to new requests. */
    void markLeaving() {
        mLeavingSignal = true;
    }

    /**
     * Advances the state to the current time.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void advance(long nanos) {
        mHeld.advance(nanos);
        mWithheld.advance(nanos);
        if (mEjectionState.advance(nanos)) {
            mRecord.reset();
        }
    }

    /**
     * Handles a report of the requests that the server has in flight.
     *
     * @param reportedInFlight the number of requests
     * @param nanos the current monotonic time, in nanoseconds
     */
    void report(int reportedInFlight, long nanos) {
        mWithheld.report(reportedInFlight, mHeld.minInFlight(), nanos);
        mHeld.report(reportedInFlight, nanos);
    }

    /**
     * Holds a slot for a request that is sent now.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void dispatch(long nanos) {
        mHeld.dispatch();
        mLastDispatchNanos = nanos;
        mEjectionState.trialSent(nanos);
    }

    /**
     * Returns whether the server is leaving, by specification or by its own signal.
     *
     * @return whether it gets no new requests
     */
    boolean isLeaving() {
        return mLeavingSignal || mSpecification.leaving();
    }

    /**
     * Returns whether the server itself signaled that it is leaving.
     *
     * @return whether it did, regardless of the specification
     */
    boolean isLeavingBySignal() {
        return mLeavingSignal;
    }

    /**
     * Returns the number of slots that may be used by requests of any kind, idempotent or not.
     *
     * @return the usable slots, 0 unless the server is in use
     */
    int regularSlots() {
        return mEjectionState.isInUse() ? usableSlots() : 0;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @return whether a usable slot is free
     */
    boolean hasFreeSlot() {
        return heldSlots() < usableSlots();
    }

    @Override
    public BackendServerId id() {
        return mSpecification.id();
    }

    @Override
    public int usableSlots() {
        if (isLeaving()) {
            return 0;
        }
        int slots = mShare.usableSlots(mSpecification.slots(), mFairSlots, mWithheld.count());
        return mEjectionState.limit(Math.min(slots, mRampIn.limit()));
    }

    @Override
    public int heldSlots() {
        return mHeld.held();
    }

    @Override
    public long lastDispatchNanos() {
        return mLastDispatchNanos;
    }

    @Override
    public long typicalNanos() {
        return mRecord.latency().typicalNanos();
    }

    BackendServerSpecification specification() {
        return mSpecification;
    }

    HeldSlots held() {
        return mHeld;
    }

    WithheldSlots withheld() {
        return mWithheld;
    }

    RampIn rampIn() {
        return mRampIn;
    }

    ServerRecord record() {
        return mRecord;
    }

    EjectionState ejectionState() {
        return mEjectionState;
    }
}
