package io.masticpond.measure.tail;

import java.util.ArrayDeque;
import java.util.Queue;

/** Policy with a single first-come, first-served queue for all slots and no delay. */
final class CentralQueuePolicy implements TailPolicy {

    private final TailRun mRun;
    private final Queue<Integer> mWaiting = new ArrayDeque<>();

    CentralQueuePolicy(TailRun run) {
        mRun = run;
    }

    @Override
    public void arrive(int request) {
        mWaiting.add(request);
        serveWaiting();
    }

    private void serveWaiting() {
        for (int server = 0; server < TailTopology.SERVERS; server++) {
            FakeServer fake = mRun.servers().get(server);
            while (!mWaiting.isEmpty() && fake.load() < fake.slots()) {
                int request = mWaiting.remove();
                mRun.serve(server, request, () -> complete(request));
            }
        }
    }

    private void complete(int request) {
        mRun.answered(request);
        serveWaiting();
    }
}
