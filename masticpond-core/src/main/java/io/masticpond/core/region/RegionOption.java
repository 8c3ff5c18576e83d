package io.masticpond.core.region;

import io.masticpond.core.request.RefusalCause;

/**
 * Evaluation of a region for one request.
 *
 * @param view the region
 * @param waitNanos the estimated time that the request would wait for a slot
 * @param totalNanos the estimated time to the answer, including the round trip and the processing
 * @param hasSlotReserve whether enough slots are free there for traffic to be drawn by price
 * @param isHeldDown whether other regions are preferred, since the region returned or the link to
 *     its admitter broke only recently
 * @param refusalCause the reason why the region cannot take the request, or {@code null} if it can
 * @param retryNanos the time after which the region might take the request if it cannot now; 0 if
 *     unknown
 */
record RegionOption(
        RegionView view,
        long waitNanos,
        long totalNanos,
        boolean hasSlotReserve,
        boolean isHeldDown,
        RefusalCause refusalCause,
        long retryNanos) {

    static RegionOption blocked(RegionView view, RefusalCause cause, long retryNanos) {
        return new RegionOption(view, 0, Long.MAX_VALUE, false, false, cause, retryNanos);
    }

    boolean isAvailable() {
        return refusalCause == null;
    }

    /** Determines whether this option is better by time alone; held-down regions come last. */
    boolean isFasterThan(RegionOption other) {
        if (isHeldDown != other.isHeldDown) {
            return other.isHeldDown;
        }
        return totalNanos < other.totalNanos;
    }

    /** Determines whether this option is better by price, then by time. */
    boolean isCheaperThan(RegionOption other) {
        if (view.priceMicros() != other.view.priceMicros()) {
            return view.priceMicros() < other.view.priceMicros();
        }
        return isFasterThan(other);
    }
}
