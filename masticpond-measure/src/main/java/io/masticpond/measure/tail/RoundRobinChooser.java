package io.masticpond.measure.tail;

/** {@link ServerChooser} that cycles through the servers, independently for each instance. */
final class RoundRobinChooser implements ServerChooser {

    private final int[] mNext = new int[TailTopology.INSTANCES];

    @Override
    public int choose(int instance) {
        int server = (mNext[instance] + instance) % TailTopology.SERVERS;
        mNext[instance]++;
        return server;
    }
}
