package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;

/** What an admitter knows of one backend server: its slots, its answers and its standing. */
final class BackendServerState implements ServerCandidate {

    private final HeldSlots mHeld;
    private final WithheldSlots mWithheld;
    private final RampIn mRampIn;
    private final ServerRecord mRecord = new ServerRecord();
    private final EjectionState mStanding;
    private BackendServerSpecification mSpecification;
    private AdmissionShare mShare = AdmissionShare.FAIR_SHARE;
    private int mFairSlots;
    private boolean mLeavingSign;
    private long mLastDispatchNanos;

    /**
     * Starts with nothing in flight.
     *
     * @param specification what operators state of the server
     * @param settings the limits and paces
     * @param nanos the time now
     */
    BackendServerState(
            BackendServerSpecification specification, AdmissionSettings settings, long nanos) {
        mSpecification = specification;
        mHeld = new HeldSlots(settings.reportLag().toNanos(), nanos);
        mWithheld = new WithheldSlots(settings);
        mRampIn = new RampIn(settings.rampIn());
        mStanding = new EjectionState(settings.outliers());
    }

    /**
     * Takes what operators state now. A leaving sign of the server holds until operators take back
     * that it is leaving, or give it another address.
     *
     * @param specification the same server
     * @param nanos the time now
     */
    void specify(BackendServerSpecification specification, long nanos) {
        boolean moved = !specification.address().equals(mSpecification.address());
        boolean undrained = mSpecification.leaving() && !specification.leaving();
        mSpecification = specification;
        if (moved || undrained) {
            cold(nanos);
        }
    }

    /**
     * Takes which slots may be used.
     *
     * @param share the share
     * @param fairSlots the slots in the static fair share
     */
    void share(AdmissionShare share, int fairSlots) {
        mShare = share;
        mFairSlots = fairSlots;
    }

    /**
     * Opens the server at the first step of the ramp-in.
     *
     * @param nanos the time now
     */
    void cold(long nanos) {
        mLeavingSign = false;
        mRampIn.start(nanos);
    }

    /**
     * Takes that the server started anew: nothing that left before is at work.
     *
     * @param nanos the time now
     */
    void started(long nanos) {
        cold(nanos);
        mHeld.restarted(nanos);
        mWithheld.clear();
        mRecord.reset();
        mStanding.reset();
    }

    /** Closes the server to new work. */
    void leaving() {
        mLeavingSign = true;
    }

    /**
     * Lets time act.
     *
     * @param nanos the time now
     */
    void advance(long nanos) {
        mHeld.advance(nanos);
        mWithheld.advance(nanos);
        if (mStanding.advance(nanos)) {
            mRecord.reset();
        }
    }

    /**
     * Takes how many requests the server says it works on.
     *
     * @param reportedInFlight the requests
     * @param nanos the time now
     */
    void report(int reportedInFlight, long nanos) {
        mWithheld.report(reportedInFlight, mHeld.leastInFlight(), nanos);
        mHeld.report(reportedInFlight, nanos);
    }

    /**
     * Holds a slot for a request that leaves now.
     *
     * @param nanos the time now
     */
    void dispatch(long nanos) {
        mHeld.dispatch();
        mLastDispatchNanos = nanos;
        mStanding.trialSent(nanos);
    }

    /**
     * Tells whether operators or the server said that it is leaving.
     *
     * @return whether it gets no new work
     */
    boolean isLeaving() {
        return mLeavingSign || mSpecification.leaving();
    }

    /**
     * Tells whether the server itself said that it is leaving.
     *
     * @return whether it did, whatever operators say
     */
    boolean isLeavingBySignal() {
        return mLeavingSign;
    }

    /**
     * Counts the slots that may be used by requests that need not be idempotent.
     *
     * @return the usable slots, none unless the server is in use
     */
    int regularSlots() {
        return mStanding.isInUse() ? usableSlots() : 0;
    }

    /**
     * Tells whether one more request may be sent.
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
        return mStanding.limit(Math.min(slots, mRampIn.limit()));
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
        return mStanding;
    }
}
