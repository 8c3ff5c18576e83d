package io.masticpond.measure.tail;

/** The policies under comparison. */
enum TailPolicyKind {
    /** Lower bound: a single queue with perfect knowledge and no delay. */
    CENTRAL_QUEUE("central queue, no delay") {
        @Override
        TailPolicy create(TailRun run) {
            return new CentralQueuePolicy(run);
        }
    },
    /** Each instance cycles through the servers. */
    ROUND_ROBIN("round robin") {
        @Override
        TailPolicy create(TailRun run) {
            return new DirectPolicy(run, new RoundRobinChooser());
        }
    },
    /** The less loaded of two random servers, by reports that are 500 ms old. */
    TWO_CHOICES_REPORTS("two choices, old reports") {
        @Override
        TailPolicy create(TailRun run) {
            return new DirectPolicy(
                    run, new TwoChoices(run, (instance, server) -> run.reports().load(server)));
        }
    },
    /** The less loaded of two random servers, by the instance's own requests in flight there. */
    TWO_CHOICES_OWN("two choices, own counts") {
        @Override
        TailPolicy create(TailRun run) {
            LocalRequestCounts counts = new LocalRequestCounts();
            return new DirectPolicy(run, counts.counting(new TwoChoices(run, counts::load)));
        }
    },
    /** Each instance owns a fixed share of the slots and queues requests for them. */
    STATIC_SHARE("static slot share") {
        @Override
        TailPolicy create(TailRun run) {
            return new StaticSharePolicy(run);
        }
    },
    /** A slot is requested from an admitter, and the request is sent once the slot is granted. */
    GRANTS("grants") {
        @Override
        TailPolicy create(TailRun run) {
            return new GrantPolicy(run);
        }
    },
    /** The less loaded of two random servers, by a probe of each. */
    PROBING("probing") {
        @Override
        TailPolicy create(TailRun run) {
            return new ProbePolicy(run);
        }
    },
    /** The request itself is forwarded to an admitter, which runs the real admission. */
    FORWARDED("forwarded request") {
        @Override
        TailPolicy create(TailRun run) {
            return new ForwardPolicy(run);
        }
    },
    /** The same as {@link #FORWARDED}, while one admitter is killed and another paused for 2 s. */
    FORWARDED_FAULTS("forwarded request, faults") {
        @Override
        TailPolicy create(TailRun run) {
            return new FaultyForwardPolicy(run);
        }
    };

    private final String mTitle;

    TailPolicyKind(String title) {
        mTitle = title;
    }

    /**
     * Creates the policy for one run.
     *
     * @param run the run
     * @return the policy
     */
    abstract TailPolicy create(TailRun run);

    String title() {
        return mTitle;
    }
}
