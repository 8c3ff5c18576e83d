package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;

/**
 * Policy in which an entry instance sends directly to a server of its choice, which queues requests
 * beyond its slots.
 */
final class DirectPolicy implements TailPolicy {

    private final TailRun mRun;
    private final ServerChooser mChooser;

    DirectPolicy(TailRun run, ServerChooser chooser) {
        mRun = run;
        mChooser = chooser;
    }

    @Override
    public void arrive(int request) {
        mRun.events().after(TailTopology.LONG_DELAY_NANOS, () -> send(request));
    }

    private void send(int request) {
        int instance = mRun.workload().entries()[request];
        int server = mChooser.choose(instance);
        long delay = TailTopology.instanceToServerNanos(instance, server);
        EventQueue events = mRun.events();
        Runnable onResponse =
                () -> {
                    mChooser.answered(instance, server);
                    events.after(TailTopology.LONG_DELAY_NANOS, () -> mRun.answered(request));
                };
        events.after(
                delay, () -> mRun.serve(server, request, () -> events.after(delay, onResponse)));
    }
}
