package io.masticpond.measure.tail;

/** Takes the better of two random servers, by load for each slot. */
final class TwoChoices implements ServerChooser {

    /** What an instance knows of a server. */
    @FunctionalInterface
    interface KnownLoad {

        /**
         * Tells the load.
         *
         * @param instance the instance
         * @param server the server
         * @return the requests that the instance believes to be there
         */
        int load(int instance, int server);
    }

    private final TailRun mRun;
    private final KnownLoad mLoad;

    TwoChoices(TailRun run, KnownLoad load) {
        mRun = run;
        mLoad = load;
    }

    @Override
    public int choose(int instance) {
        int first = mRun.random().nextInt(TailTopology.SERVERS);
        int other = mRun.random().nextInt(TailTopology.SERVERS - 1);
        int second = other < first ? other : other + 1;
        return share(instance, second) < share(instance, first) ? second : first;
    }

    private double share(int instance, int server) {
        return (double) mLoad.load(instance, server) / TailTopology.slots(server);
    }
}
