package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;

/** Entry instances send straight to a server that they choose, which queues what it must. */
final class DirectPolicy implements TailPolicy {

    private final TailRun mRun;
    private final ServerChooser mChooser;

    DirectPolicy(TailRun run, ServerChooser chooser) {
        mRun = run;
        mChooser = chooser;
    }

    @Override
    public void arrive(int request) {
        mRun.events().after(TailTopology.FAR_NANOS, () -> send(request));
    }

    private void send(int request) {
        int instance = mRun.workload().entries()[request];
        int server = mChooser.choose(instance);
        long delay = TailTopology.instanceToServerNanos(instance, server);
        EventQueue events = mRun.events();
        Runnable back =
                () -> {
                    mChooser.answered(instance, server);
                    events.after(TailTopology.FAR_NANOS, () -> mRun.answered(request));
                };
        events.after(delay, () -> mRun.serve(server, request, () -> events.after(delay, back)));
    }
}
