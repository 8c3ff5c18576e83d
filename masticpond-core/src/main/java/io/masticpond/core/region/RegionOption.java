package io.masticpond.core.region;

import io.masticpond.core.request.RefusalCause;

/**
 * A region weighed for one request.
 *
 * @param view the region
 * @param waitNanos how long the request would wait for a slot
 * @param totalNanos how long its answer would take, with the distance and the work itself
 * @param hasSlotReserve whether enough slots are free there for price to draw traffic
 * @param heldDown whether it came back only a short time ago
 * @param block why it cannot take the request, or {@code null} if it can
 * @param retryNanos when it might take the request if it cannot now; 0 if that is not known
 */
record RegionOption(
        RegionView view,
        long waitNanos,
        long totalNanos,
        boolean hasSlotReserve,
        boolean heldDown,
        RefusalCause block,
        long retryNanos) {

    static RegionOption blocked(RegionView view, RefusalCause cause, long retryNanos) {
        return new RegionOption(view, 0, Long.MAX_VALUE, false, false, cause, retryNanos);
    }

    boolean isOpen() {
        return block == null;
    }

    /** Tells whether this one is better on time alone; a region that just came back is last. */
    boolean fasterThan(RegionOption other) {
        if (heldDown != other.heldDown) {
            return other.heldDown;
        }
        return totalNanos < other.totalNanos;
    }

    /** Tells whether this one is better on price, then on time. */
    boolean cheaperThan(RegionOption other) {
        if (view.priceMicros() != other.view.priceMicros()) {
            return view.priceMicros() < other.view.priceMicros();
        }
        return fasterThan(other);
    }
}
