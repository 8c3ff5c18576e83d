package io.masticpond.core.admission;

/** Draws conclusions about a backend server from answers and, where these are silent, reports. */
final class AttemptEvaluator {

    /** Takes the events that people should see. */
    @FunctionalInterface
    interface EventListener {

        /**
         * Takes an event.
         *
         * @param event its name
         * @param object the id of the backend server
         * @param detail a few words more
         */
        void record(String event, String object, String detail);
    }

    /** A timeout counts as a failure only after this many typical latencies. */
    private static final int TIMEOUT_FACTOR = 4;

    private final OutlierSettings mSettings;
    private final OutlierDetector mDetector;
    private final BackendServerTable mServers;
    private final EventListener mEvents;

    /**
     * Makes the judge.
     *
     * @param settings when to eject
     * @param servers the servers of the shard
     * @param events takes what people should see
     */
    AttemptEvaluator(OutlierSettings settings, BackendServerTable servers, EventListener events) {
        mSettings = settings;
        mDetector = new OutlierDetector(settings);
        mServers = servers;
        mEvents = events;
    }

    /**
     * Takes how an attempt ended.
     *
     * @param server the server
     * @param outcome how the attempt ended
     * @param heldNanos how long the slot was held
     * @param nanos the time now
     */
    void evaluate(BackendServerState server, AttemptOutcome outcome, long heldNanos, long nanos) {
        switch (outcome) {
            case ANSWERED -> answered(server, heldNanos, nanos);
            case SERVER_ERROR, BROKEN -> failed(server, nanos);
            case TIMED_OUT -> timedOut(server, heldNanos, nanos);
            case SHED -> shed(server, nanos);
            case UNREACHABLE -> eject(server, EjectionState.Reason.UNREACHABLE, nanos);
            case CANCELLED -> {}
            default -> throw new IllegalStateException("No such outcome: " + outcome);
        }
    }

    /**
     * Takes what a server says about itself.
     *
     * @param server the server
     * @param sign the sign
     * @param nanos the time now
     */
    void observe(BackendServerState server, BackendServerSignal sign, long nanos) {
        if (sign.reportedInFlight() >= 0) {
            server.report(sign.reportedInFlight(), nanos);
        }
        switch (sign.kind()) {
            case HEALTHY -> server.ejectionState().reportedHealthy(nanos);
            case UNHEALTHY -> reportedUnhealthy(server, nanos);
            case LEAVING -> leaving(server);
            case STARTED -> {
                server.started(nanos);
                record("server-started", server, "");
            }
            case STAYING -> staying(server, nanos);
            default -> throw new IllegalStateException("No such sign: " + sign);
        }
    }

    private void answered(BackendServerState server, long heldNanos, long nanos) {
        ServerRecord record = server.record();
        record.answered(heldNanos, nanos);
        server.rampIn().answered(server.specification().slots(), nanos);
        if (server.ejectionState().answered(record.consecutiveAnswers(), nanos)) {
            server.rampIn().start(nanos);
            record("server-returned", server, "");
        }
        ejectOutlier(server, nanos);
    }

    private void failed(BackendServerState server, long nanos) {
        server.record().failed();
        if (server.ejectionState().isOnTrial()) {
            eject(server, server.ejectionState().reason(), nanos);
            return;
        }
        ejectOutlier(server, nanos);
    }

    private void timedOut(BackendServerState server, long heldNanos, long nanos) {
        if (heldNanos >= server.typicalNanos() * TIMEOUT_FACTOR) {
            failed(server, nanos);
        }
    }

    private void shed(BackendServerState server, long nanos) {
        server.rampIn().shed(server.heldSlots(), nanos);
        server.withheld().shed();
    }

    private void reportedUnhealthy(BackendServerState server, long nanos) {
        boolean trusted =
                server.record().answeredWithin(nanos, mSettings.answerValidity().toNanos());
        if (trusted
                || !server.ejectionState().isInUse()
                || !mDetector.mayEject(server, mServers.all())) {
            return;
        }
        eject(server, EjectionState.Reason.REPORT, nanos);
    }

    private void leaving(BackendServerState server) {
        if (!server.isLeaving()) {
            record("server-leaving", server, "");
        }
        server.leaving();
    }

    private void staying(BackendServerState server, long nanos) {
        if (server.isLeavingBySignal()) {
            server.cold(nanos);
            record("server-staying", server, "");
        }
    }

    private void ejectOutlier(BackendServerState server, long nanos) {
        if (server.ejectionState().isInUse()
                && mDetector.isOutlier(server, mServers.all())
                && mDetector.mayEject(server, mServers.all())) {
            eject(server, EjectionState.Reason.ANSWERS, nanos);
        }
    }

    private void eject(BackendServerState server, EjectionState.Reason reason, long nanos) {
        server.ejectionState().eject(reason, nanos);
        record("server-ejected", server, reason.name());
    }

    private void record(String event, BackendServerState server, String detail) {
        mEvents.record(event, server.id().value(), detail);
    }
}
