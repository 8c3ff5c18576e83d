package io.masticpond.measure.tail;

/** Counts the requests of each instance at each server. */
final class LocalRequestCounts {

    private final int[][] mCounts = new int[TailTopology.INSTANCES][TailTopology.SERVERS];

    int load(int instance, int server) {
        return mCounts[instance][server];
    }

    /**
     * Counts what a chooser sends.
     *
     * @param chooser the chooser
     * @return the same choices, counted
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
