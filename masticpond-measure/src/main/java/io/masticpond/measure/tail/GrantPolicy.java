package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Policy in which an entry instance requests a slot from an admitter and sends the request once the
 * slot is granted.
 */
final class GrantPolicy implements TailPolicy {

    private static final int ADMITTER = 0;

    private final TailRun mRun;
    private final EventQueue mEvents;
    private final int[] mFree = new int[TailTopology.SERVERS];
    private final Queue<Integer> mWaiting = new ArrayDeque<>();

    GrantPolicy(TailRun run) {
        mRun = run;
        mEvents = run.events();
        for (int server = 0; server < TailTopology.SERVERS; server++) {
            mFree[server] = TailTopology.slots(server);
        }
    }

    @Override
    public void arrive(int request) {
        mEvents.after(
                TailTopology.LONG_DELAY_NANOS + toAdmitter(request),
                () -> {
                    mWaiting.add(request);
                    grantWaiting();
                });
    }

    private void grantWaiting() {
        for (int server = 0; server < TailTopology.SERVERS; server++) {
            while (mFree[server] > 0 && !mWaiting.isEmpty()) {
                grant(server, mWaiting.remove());
            }
        }
    }

    private void grant(int server, int request) {
        mFree[server]--;
        int instance = mRun.workload().entries()[request];
        long delay = TailTopology.instanceToServerNanos(instance, server);
        Runnable onResponse =
                () -> {
                    mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> mRun.answered(request));
                    mEvents.after(toAdmitter(request), () -> release(server));
                };
        mEvents.after(
                toAdmitter(request) + delay,
                () -> mRun.serve(server, request, () -> mEvents.after(delay, onResponse)));
    }

    private void release(int server) {
        mFree[server]++;
        grantWaiting();
    }

    private long toAdmitter(int request) {
        return TailTopology.instanceToInstanceNanos(mRun.workload().entries()[request], ADMITTER);
    }
}
