package io.masticpond.testing.backend;

/** Report of the health and load routes, which may be outdated or false by injected faults. */
record BackendServerReport(String status, int inFlight, int slots, long takenNanos) {

    private static final String HEALTHY = "healthy";
    private static final String UNHEALTHY = "unhealthy";
    private static final String LEAVING = "leaving";

    static BackendServerReport of(
            BackendServerFaults faults, boolean leaving, int inFlight, int slots, long nowNanos) {
        String status =
                switch (faults.health()) {
                    case TRUE -> leaving ? LEAVING : HEALTHY;
                    case HEALTHY -> HEALTHY;
                    case UNHEALTHY -> UNHEALTHY;
                };
        return new BackendServerReport(status, faults.hidesLoad() ? 0 : inFlight, slots, nowNanos);
    }

    String health() {
        return "{\"status\":\"%s\",\"inFlight\":%d}".formatted(status, inFlight);
    }

    String load() {
        return "{\"inFlight\":%d,\"slots\":%d}".formatted(inFlight, slots);
    }
}
