package io.masticpond.measure.tail;

/** Takes the servers in turn, each instance for itself. */
final class RoundRobinChooser implements ServerChooser {

    private final int[] mNext = new int[TailTopology.INSTANCES];

    @Override
    public int choose(int instance) {
        int server = (mNext[instance] + instance) % TailTopology.SERVERS;
        mNext[instance]++;
        return server;
    }
}
