package io.masticpond.measure.tail;

/**
 * {@link ServerChooser} that picks two servers at random and chooses the one with the lower load
 * per slot.
 */
final class TwoChoices implements ServerChooser {

    /** Strategy interface for the load of a server as known to an instance. */
    @FunctionalInterface
    interface KnownLoad {

        /**
         * Returns the known load.
         *
         * @param instance the instance
         * @param server the server
         * @return the number of requests at the server according to the instance
         */
        int load(int instance, int server);
    }

    private final TailRun mRun;
    private final KnownLoad mKnownLoad;

    TwoChoices(TailRun run, KnownLoad load) {
        mRun = run;
        mKnownLoad = load;
    }

    @Override
    public int choose(int instance) {
        int first = mRun.random().nextInt(TailTopology.SERVERS);
        int offset = mRun.random().nextInt(TailTopology.SERVERS - 1);
        int second = offset < first ? offset : offset + 1;
        return loadPerSlot(instance, second) < loadPerSlot(instance, first) ? second : first;
    }

    private double loadPerSlot(int instance, int server) {
        return (double) mKnownLoad.load(instance, server) / TailTopology.slots(server);
    }
}
