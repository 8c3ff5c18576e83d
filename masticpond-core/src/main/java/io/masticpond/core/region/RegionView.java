package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import java.util.HashMap;
import java.util.Map;

/** View that this instance has of one region for one service, and its requests in flight there. */
final class RegionView {

    private static final double ANSWER_WEIGHT = 0.05;
    private static final double MINIMUM_WAIT_SHARE = 0.5;

    private final RegionSelectorParameters mParameters;
    private final HeadroomSnapshot mSnapshot;
    private final RegionRamp mRamp;
    private final RegionAvailability mAvailability;
    private final Map<RequestId, Long> mStartNanos = new HashMap<>();
    private ServiceRegion mServiceRegion;
    private LinkShare mLink;
    private int mSenders = 1;
    private int mFairShare = 1;
    private int mInFlightAtReport;
    private double mServiceTimeNanos;

    RegionView(
            ServiceRegion serviceRegion,
            RegionSelectorParameters parameters,
            LinkShare link,
            long nowNanos) {
        mServiceRegion = serviceRegion;
        mParameters = parameters;
        mLink = link;
        mSnapshot = new HeadroomSnapshot(parameters);
        mRamp = new RegionRamp(parameters, serviceRegion.slots(), serviceRegion.isOwn(), nowNanos);
        mAvailability = new RegionAvailability(parameters);
    }

    /** Applies a new configuration of the region and keeps its state. */
    void configure(ServiceRegion serviceRegion, LinkShare link) {
        mServiceRegion = serviceRegion;
        mLink = link;
        mRamp.setCeiling(serviceRegion.slots());
    }

    RegionId region() {
        return mServiceRegion.region();
    }

    long priceMicros() {
        return mServiceRegion.priceMicros();
    }

    int inFlight() {
        return mStartNanos.size();
    }

    /** Sets the number of instances that send to this region based on the same snapshot. */
    void setSenders(int senders) {
        mSenders = mServiceRegion.isOwn() ? 1 : Math.max(1, senders);
        mFairShare = Math.max(1, mServiceRegion.slots() / Math.max(1, senders));
        mRamp.setColdLimit(mParameters.coldShare() * mServiceRegion.slots() / Math.max(1, senders));
    }

    void observe(Headroom headroom, long nowNanos) {
        mSnapshot.observe(headroom, nowNanos);
        mInFlightAtReport = Math.max(1, inFlight());
    }

    void setReachable(boolean reachable, long nowNanos) {
        if (reachable && mAvailability.recordReturn(nowNanos)) {
            mRamp.resetToCold(nowNanos);
        }
        if (!reachable && mAvailability.recordLoss(nowNanos)) {
            mSnapshot.clear();
        }
    }

    /** Evaluates the region for a request. */
    RegionOption evaluate(RequestHead request, long nowNanos) {
        if (!mAvailability.isReachable()) {
            return RegionOption.blocked(this, RefusalCause.NO_BACKEND_SERVER, 0);
        }
        if (!mLink.hasToken(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.LINK_FULL, mLink.nanosToToken());
        }
        long backoff = mAvailability.backoffNanos(nowNanos);
        if (backoff > 0 && mSnapshot.isStale(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, backoff);
        }
        if (!isWithinLimit(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, (long) mServiceTimeNanos);
        }
        return evaluateTime(request, nowNanos);
    }

    private RegionOption evaluateTime(RequestHead request, long nowNanos) {
        boolean isUnknown = mSnapshot.isUnknown(nowNanos);
        long wait = isUnknown ? 0 : mSnapshot.waitNanos(mSenders, (long) mServiceTimeNanos);
        long travelAndServiceNanos = mServiceRegion.roundTripNanos() + (long) mServiceTimeNanos;
        long slackNanos = request.deadlineNanos() - nowNanos - travelAndServiceNanos;
        if (slackNanos <= 0
                && mServiceRegion.roundTripNanos() >= request.deadlineNanos() - nowNanos) {
            return RegionOption.blocked(this, RefusalCause.DEADLINE, 0);
        }
        if (wait > 0 && wait > slackNanos * waitShare(request.priority())) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, wait);
        }
        boolean hasSlotReserve =
                !isUnknown && mSnapshot.hasFreeShare(mSenders, mParameters.priceReserveShare());
        boolean heldDown = mAvailability.isHeldDown(nowNanos);
        return new RegionOption(
                this, wait, wait + travelAndServiceNanos, hasSlotReserve, heldDown, null, 0);
    }

    /**
     * Returns the share of the remaining time that a request may wait; low priorities may wait for
     * a smaller share, so that they are refused first.
     */
    private static double waitShare(int priority) {
        double rank = (double) priority / RequestHead.MAXIMUM_PRIORITY;
        return MINIMUM_WAIT_SHARE + (1 - MINIMUM_WAIT_SHARE) * rank;
    }

    private boolean isWithinLimit(long nowNanos) {
        int slotsHeld = (int) (inFlight() * slotShare());
        if (!mRamp.admits(slotsHeld, mServiceRegion.isOwn(), nowNanos)) {
            return false;
        }
        if (mServiceRegion.isOwn() || !mSnapshot.isStale(nowNanos)) {
            return true;
        }
        if (mSnapshot.isUnknown(nowNanos)) {
            return slotsHeld < mFairShare;
        }
        return inFlight() < Math.max(mInFlightAtReport, mFairShare);
    }

    /**
     * Returns the share of its time in flight for which a request holds a slot; the rest is travel.
     */
    private double slotShare() {
        return mServiceTimeNanos == 0
                ? 1
                : mServiceTimeNanos / (mServiceTimeNanos + mServiceRegion.roundTripNanos());
    }

    void recordChoice(RequestId request, long nowNanos) {
        mStartNanos.put(request, nowNanos);
        mSnapshot.recordSent();
        mLink.takeToken();
    }

    void recordOutcome(RequestId request, RegionAttemptOutcome outcome, long nowNanos) {
        Long startNanos = mStartNanos.remove(request);
        if (startNanos == null) {
            return;
        }
        switch (outcome) {
            case ANSWERED -> recordAnswer(nowNanos - startNanos);
            case REFUSED -> mAvailability.recordRefusal(nowNanos);
            case LOST -> mAvailability.recordLostAttempt(nowNanos);
            case FAILED -> {}
            default -> throw new IllegalStateException("Unknown outcome: " + outcome + ".");
        }
    }

    private void recordAnswer(long nanos) {
        double serviceTime = Math.max(0, nanos - mServiceRegion.roundTripNanos());
        mServiceTimeNanos =
                mServiceTimeNanos == 0
                        ? serviceTime
                        : mServiceTimeNanos + ANSWER_WEIGHT * (serviceTime - mServiceTimeNanos);
        mAvailability.recordAnswer();
    }

    DegradationStep step(long nowNanos) {
        return mSnapshot.step(nowNanos);
    }

    RegionStatus status(ServiceId service, long nowNanos) {
        return new RegionStatus(
                service,
                region(),
                step(nowNanos),
                mAvailability.isReachable(),
                inFlight(),
                mRamp.limit());
    }
}
