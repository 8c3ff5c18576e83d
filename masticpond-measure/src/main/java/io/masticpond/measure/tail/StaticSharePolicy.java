package io.masticpond.measure.tail;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Policy in which each entry instance queues for the slots of its own static share; all shares are
 * even.
 */
final class StaticSharePolicy implements TailPolicy {

    private final TailRun mRun;
    private final int[][] mFree = new int[TailTopology.INSTANCES][TailTopology.SERVERS];
    private final List<Queue<Integer>> mWaiting = new ArrayList<>();

    StaticSharePolicy(TailRun run) {
        mRun = run;
        for (int instance = 0; instance < TailTopology.INSTANCES; instance++) {
            mWaiting.add(new ArrayDeque<>());
        }
        int assigned = 0;
        for (int server = 0; server < TailTopology.SERVERS; server++) {
            for (int slot = 0; slot < TailTopology.slots(server); slot++) {
                mFree[assigned % TailTopology.INSTANCES][server]++;
                assigned++;
            }
        }
    }

    @Override
    public void arrive(int request) {
        mRun.events().after(TailTopology.LONG_DELAY_NANOS, () -> queue(request));
    }

    private void queue(int request) {
        int instance = mRun.workload().entries()[request];
        mWaiting.get(instance).add(request);
        sendWaiting(instance);
    }

    private void sendWaiting(int instance) {
        for (int server = 0; server < TailTopology.SERVERS; server++) {
            while (mFree[instance][server] > 0 && !mWaiting.get(instance).isEmpty()) {
                send(instance, server, mWaiting.get(instance).remove());
            }
        }
    }

    private void send(int instance, int server, int request) {
        mFree[instance][server]--;
        long delay = TailTopology.instanceToServerNanos(instance, server);
        Runnable onResponse =
                () -> {
                    mFree[instance][server]++;
                    mRun.events()
                            .after(TailTopology.LONG_DELAY_NANOS, () -> mRun.answered(request));
                    sendWaiting(instance);
                };
        mRun.events()
                .after(
                        delay,
                        () ->
                                mRun.serve(
                                        server,
                                        request,
                                        () -> mRun.events().after(delay, onResponse)));
    }
}
