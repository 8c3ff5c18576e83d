package io.masticpond.core.admission;

/**
 * Part of the backend servers' slots that an admitter may use.
 *
 * @since 0.1
 * @see SlotShare
 */
public enum AdmissionShare {
    /**
     * All slots: this instance is the only admitter, and no request of an earlier one is in flight.
     */
    WHOLE {
        @Override
        int usableSlots(int slots, int fairSlots, int withheldSlots) {
            return slots;
        }

        @Override
        DegradationStep step(int withheldSlots) {
            return DegradationStep.EXACT;
        }
    },
    /** All slots, in steps, as the requests of an earlier admitter must have ended. */
    WIDENING {
        @Override
        int usableSlots(int slots, int fairSlots, int withheldSlots) {
            return Math.max(fairSlots, slots - withheldSlots);
        }

        @Override
        DegradationStep step(int withheldSlots) {
            return withheldSlots > 0 ? DegradationStep.WIDENING : DegradationStep.EXACT;
        }
    },
    /** The static fair share: another admitter may be active. */
    FAIR_SHARE {
        @Override
        int usableSlots(int slots, int fairSlots, int withheldSlots) {
            return fairSlots;
        }

        @Override
        DegradationStep step(int withheldSlots) {
            return DegradationStep.FAIR_SHARE;
        }
    };

    /**
     * Returns the number of usable slots of a backend server.
     *
     * @param slots the slots of the server
     * @param fairSlots the slots in the static fair share
     * @param withheldSlots the slots that requests of an earlier admitter may hold
     * @return from 0 to the slots
     */
    abstract int usableSlots(int slots, int fairSlots, int withheldSlots);

    /**
     * Returns the degradation step that corresponds to the share.
     *
     * @param withheldSlots the slots withheld over all backend servers
     * @return the step
     */
    abstract DegradationStep step(int withheldSlots);
}
