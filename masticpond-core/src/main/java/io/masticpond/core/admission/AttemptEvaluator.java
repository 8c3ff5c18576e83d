package io.masticpond.core.admission;

/**
 * Evaluator of attempts at backend servers. It relies on answers, and on reports of a server where
 * recent answers are missing.
 */
final class AttemptEvaluator {

    /** Callback interface for events that are shown to operators. */
    @FunctionalInterface
    interface EventListener {

        /**
         * Records an event.
         *
         * @param event the name of the event
         * @param object the id of the backend server
         * @param detail additional details, may be empty
         */
        void record(String event, String object, String detail);
    }

    /** Multiple of the typical latency from which on a timeout counts as a failure. */
    private static final int TIMEOUT_FACTOR = 4;

    private final OutlierSettings mSettings;
    private final OutlierDetector mDetector;
    private final BackendServerTable mServers;
    private final EventListener mEvents;

    /**
     * Creates an evaluator.
     *
     * @param settings the conditions of an ejection
     * @param servers the servers of the shard
     * @param events the listener for events
     */
    AttemptEvaluator(OutlierSettings settings, BackendServerTable servers, EventListener events) {
        mSettings = settings;
        mDetector = new OutlierDetector(settings);
        mServers = servers;
        mEvents = events;
    }

    /**
     * Evaluates how an attempt ended.
     *
     * @param server the server
     * @param outcome how the attempt ended
     * @param heldNanos how long the slot was held, in nanoseconds
     * @param nanos the current monotonic time, in nanoseconds
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
     * Evaluates a signal of a server about its own state.
     *
     * @param server the server
     * @param signal the signal
     * @param nanos the current monotonic time, in nanoseconds
     */
    void observe(BackendServerState server, BackendServerSignal signal, long nanos) {
        if (signal.reportedInFlight() >= 0) {
            server.report(signal.reportedInFlight(), nanos);
        }
        switch (signal.kind()) {
            case HEALTHY -> server.ejectionState().reportedHealthy(nanos);
            case UNHEALTHY -> reportedUnhealthy(server, nanos);
            case LEAVING -> leaving(server);
            case STARTED -> {
                server.started(nanos);
                record("server-started", server, "");
            }
            case STAYING -> staying(server, nanos);
            default -> throw new IllegalStateException("No such signal: " + signal);
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
        boolean answeredRecently =
                server.record().answeredWithin(nanos, mSettings.answerValidity().toNanos());
        if (answeredRecently
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
        server.markLeaving();
    }

    private void staying(BackendServerState server, long nanos) {
        if (server.isLeavingBySignal()) {
            server.startRampIn(nanos);
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
