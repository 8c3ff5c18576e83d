package io.masticpond.core.loadcontrol;

/**
 * Modes of load control, each with its rule for a service.
 *
 * @since 0.3
 */
public enum LoadControlMode {
    /** Active for the services whose backend servers report how long their work takes. */
    AUTOMATIC {
        @Override
        boolean isActive(boolean reportsTimes) {
            return reportsTimes;
        }
    },
    /** Active for no service. */
    OFF {
        @Override
        boolean isActive(boolean reportsTimes) {
            return false;
        }
    },
    /** Active for all services. */
    ON {
        @Override
        boolean isActive(boolean reportsTimes) {
            return true;
        }
    };

    /**
     * Determines whether load control is active for a service.
     *
     * @param reportsTimes whether the servers of the service report how long their work takes
     */
    abstract boolean isActive(boolean reportsTimes);
}
