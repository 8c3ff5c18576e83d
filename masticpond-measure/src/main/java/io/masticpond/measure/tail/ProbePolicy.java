package io.masticpond.measure.tail;

import java.util.concurrent.TimeUnit;

/** Entry instances probe two servers, which takes 6 ms, and send to the one with less load. */
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
        mRun.events().after(TailTopology.FAR_NANOS + HALF_PROBE_NANOS, () -> probe(request));
    }

    private void probe(int request) {
        int instance = mRun.workload().entries()[request];
        int server = mChooser.choose(instance);
        long delay = TailTopology.instanceToServerNanos(instance, server);
        Runnable back =
                () ->
                        mRun.events()
                                .after(
                                        delay + TailTopology.FAR_NANOS,
                                        () -> mRun.answered(request));
        mRun.events().after(HALF_PROBE_NANOS + delay, () -> mRun.serve(server, request, back));
    }
}
