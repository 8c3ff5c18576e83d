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

/** What this instance knows of one region for one service, and what it has in flight there. */
final class RegionView {

    private static final double ANSWER_WEIGHT = 0.05;
    private static final double WORST_WAIT_SHARE = 0.5;

    private final RegionSelectorParameters mKnobs;
    private final HeadroomSnapshot mSnapshot;
    private final RegionRamp mRamp;
    private final RegionAvailability mAvailability;
    private final Map<RequestId, Long> mStarted = new HashMap<>();
    private ServiceRegion mPlace;
    private LinkShare mLink;
    private int mSenders = 1;
    private int mFairShare = 1;
    private int mLastTaken;
    private double mWorkNanos;

    RegionView(ServiceRegion place, RegionSelectorParameters knobs, LinkShare link, long nowNanos) {
        mPlace = place;
        mKnobs = knobs;
        mLink = link;
        mSnapshot = new HeadroomSnapshot(knobs);
        mRamp = new RegionRamp(knobs, place.slots(), place.isOwn(), nowNanos);
        mAvailability = new RegionAvailability(knobs);
    }

    /** Takes a new configuration of the region, and keeps what is known of it. */
    void configure(ServiceRegion place, LinkShare link) {
        mPlace = place;
        mLink = link;
        mRamp.setCeiling(place.slots());
    }

    RegionId region() {
        return mPlace.region();
    }

    long priceMicros() {
        return mPlace.priceMicros();
    }

    int inFlight() {
        return mStarted.size();
    }

    /** Sets how many instances send to this region from the same snapshot. */
    void setSenders(int senders) {
        mSenders = mPlace.isOwn() ? 1 : Math.max(1, senders);
        mFairShare = Math.max(1, mPlace.slots() / Math.max(1, senders));
        mRamp.setColdLimit(mKnobs.coldShare() * mPlace.slots() / Math.max(1, senders));
    }

    void observe(Headroom headroom, long nowNanos) {
        mSnapshot.observe(headroom, nowNanos);
        mLastTaken = Math.max(1, inFlight());
    }

    void setReachable(boolean reachable, long nowNanos) {
        if (reachable && mAvailability.returned(nowNanos)) {
            mRamp.cool(nowNanos);
        }
        if (!reachable && mAvailability.lost(nowNanos)) {
            mSnapshot.forget();
        }
    }

    /** Weighs the region for a request. */
    RegionOption weigh(RequestHead request, long nowNanos) {
        if (!mAvailability.isReachable()) {
            return RegionOption.blocked(this, RefusalCause.NO_BACKEND_SERVER, 0);
        }
        if (!mLink.hasToken(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.LINK_FULL, mLink.nanosToToken());
        }
        long backoff = mAvailability.backoffNanos(nowNanos);
        if (backoff > 0 && mSnapshot.isOld(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, backoff);
        }
        if (!withinLimit(nowNanos)) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, (long) mWorkNanos);
        }
        return weighTime(request, nowNanos);
    }

    private RegionOption weighTime(RequestHead request, long nowNanos) {
        boolean unknown = mSnapshot.isUnknown(nowNanos);
        long wait = unknown ? 0 : mSnapshot.waitNanos(mSenders, (long) mWorkNanos);
        long travelAndWork = mPlace.roundTripNanos() + (long) mWorkNanos;
        long spare = request.deadlineNanos() - nowNanos - travelAndWork;
        if (spare <= 0 && mPlace.roundTripNanos() >= request.deadlineNanos() - nowNanos) {
            return RegionOption.blocked(this, RefusalCause.DEADLINE, 0);
        }
        if (wait > 0 && wait > spare * waitShare(request.priority())) {
            return RegionOption.blocked(this, RefusalCause.NO_CAPACITY, wait);
        }
        boolean roomy = !unknown && mSnapshot.hasFreeShare(mSenders, mKnobs.priceReserveShare());
        boolean heldDown = mAvailability.isHeldDown(nowNanos);
        return new RegionOption(this, wait, wait + travelAndWork, roomy, heldDown, null, 0);
    }

    /** Lets low priorities wait for a small part of their spare time only, so they end first. */
    private static double waitShare(int priority) {
        double rank = (double) priority / RequestHead.MAXIMUM_PRIORITY;
        return WORST_WAIT_SHARE + (1 - WORST_WAIT_SHARE) * rank;
    }

    private boolean withinLimit(long nowNanos) {
        int slotsHeld = (int) (inFlight() * slotShare());
        if (!mRamp.admits(slotsHeld, mPlace.isOwn(), nowNanos)) {
            return false;
        }
        if (mPlace.isOwn() || !mSnapshot.isOld(nowNanos)) {
            return true;
        }
        if (mSnapshot.isUnknown(nowNanos)) {
            return slotsHeld < mFairShare;
        }
        return inFlight() < Math.max(mLastTaken, mFairShare);
    }

    /** Tells which part of its time in flight a request holds a slot; the rest it travels. */
    private double slotShare() {
        return mWorkNanos == 0 ? 1 : mWorkNanos / (mWorkNanos + mPlace.roundTripNanos());
    }

    void chosen(RequestId request, long nowNanos) {
        mStarted.put(request, nowNanos);
        mSnapshot.sent();
        mLink.take();
    }

    void ended(RequestId request, RegionAttemptOutcome end, long nowNanos) {
        Long started = mStarted.remove(request);
        if (started == null) {
            return;
        }
        switch (end) {
            case ANSWERED -> answered(nowNanos - started);
            case REFUSED -> mAvailability.refused(nowNanos);
            case LOST -> mAvailability.attemptLost(nowNanos);
            case FAILED -> {}
            default -> throw new IllegalStateException("No such end: " + end + ".");
        }
    }

    private void answered(long nanos) {
        double work = Math.max(0, nanos - mPlace.roundTripNanos());
        mWorkNanos = mWorkNanos == 0 ? work : mWorkNanos + ANSWER_WEIGHT * (work - mWorkNanos);
        mAvailability.answered();
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
