package io.masticpond.measure.tail;

/** Counters of the requests in flight from each instance to each server. */
final class LocalRequestCounts {

    private final int[][] mCounts = new int[TailTopology.INSTANCES][TailTopology.SERVERS];

    int load(int instance, int server) {
        return mCounts[instance][server];
    }

    /**
     * Wraps a chooser so that its choices are counted here.
     *
     * @param chooser the chooser
     * @return a chooser that makes the same choices and counts them
     */
    ServerChooser counting(ServerChooser chooser) {
        return new ServerChooser() {
            @Override
            public int choose(int instance) {
                int server = chooser.choose(instance);
                mCounts[instance][server]++;
                return server;
            }

            @Override
            public void answered(int instance, int server) {
                mCounts[instance][server]--;
            }
        };
    }
}
