package io.masticpond.measure.tail;

import java.util.concurrent.TimeUnit;

/**
 * Policy in which an entry instance probes two servers, which takes 6 ms, and sends the request to
 * the one with the lower load.
 */
final class ProbePolicy implements TailPolicy {

    private static final long HALF_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

    private final TailRun mRun;
    private final TwoChoices mChooser;

    ProbePolicy(TailRun run) {
        mRun = run;
        mChooser = new TwoChoices(run, (instance, server) -> run.servers().get(server).load());
    }

    @Override
    public void arrive(int request) {
        mRun.events().after(TailTopology.LONG_DELAY_NANOS + HALF_PROBE_NANOS, () -> probe(request));
    }

    private void probe(int request) {
        int instance = mRun.workload().entries()[request];
        int server = mChooser.choose(instance);
        long delay = TailTopology.instanceToServerNanos(instance, server);
        Runnable onServed =
                () ->
                        mRun.events()
                                .after(
                                        delay + TailTopology.LONG_DELAY_NANOS,
                                        () -> mRun.answered(request));
        mRun.events().after(HALF_PROBE_NANOS + delay, () -> mRun.serve(server, request, onServed));
    }
}
