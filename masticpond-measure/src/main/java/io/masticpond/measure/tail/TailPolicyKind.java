package io.masticpond.measure.tail;

/** The policies that are compared. */
enum TailPolicyKind {
    /** The bound: one queue with perfect knowledge and no delay anywhere. */
    CENTRAL_QUEUE("central queue, no delay") {
        @Override
        TailPolicy create(TailRun run) {
            return new CentralQueuePolicy(run);
        }
    },
    /** Each instance sends to the servers in turn. */
    ROUND_ROBIN("round robin") {
        @Override
        TailPolicy create(TailRun run) {
            return new DirectPolicy(run, new RoundRobinChooser());
        }
    },
    /** The better of two random servers by reports that are 500 ms old. */
    TWO_CHOICES_REPORTS("two choices, old reports") {
        @Override
        TailPolicy create(TailRun run) {
            return new DirectPolicy(
                    run, new TwoChoices(run, (instance, server) -> run.reports().load(server)));
        }
    },
    /** The better of two random servers by the instance's own requests in flight there. */
    TWO_CHOICES_OWN("two choices, own counts") {
        @Override
        TailPolicy create(TailRun run) {
            LocalRequestCounts counts = new LocalRequestCounts();
            return new DirectPolicy(run, counts.counting(new TwoChoices(run, counts::load)));
        }
    },
    /** Each instance has a fixed part of the slots, and queues for it. */
    STATIC_SHARE("static slot share") {
        @Override
        TailPolicy create(TailRun run) {
            return new StaticSharePolicy(run);
        }
    },
    /** Each request asks an admitter for a slot, and is sent when it is granted. */
    GRANTS("grants") {
        @Override
        TailPolicy create(TailRun run) {
            return new GrantPolicy(run);
        }
    },
    /** The better of two random servers by a probe of each. */
    PROBING("probing") {
        @Override
        TailPolicy create(TailRun run) {
            return new ProbePolicy(run);
        }
    },
    /** The request itself is forwarded to an admitter, with the real admission. */
    FORWARDED("forwarded request") {
        @Override
        TailPolicy create(TailRun run) {
            return new ForwardPolicy(run);
        }
    },
    /** The same, while one admitter is killed and another paused for 2 s. */
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
     * Makes the policy for one run.
     *
     * @param run the run
     * @return the policy
     */
    abstract TailPolicy create(TailRun run);

    String title() {
        return mTitle;
    }
}
