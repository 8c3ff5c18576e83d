package io.masticpond.measure.tail;

import io.masticpond.core.admission.AdmissionShare;
import io.masticpond.measure.support.EventQueue;
import java.util.List;

/** Policy in which entry instances forward requests to the real admission at one instance. */
final class ForwardPolicy implements TailPolicy {

    private static final int ADMITTER = 0;

    private final TailRun mRun;
    private final EventQueue mEvents;
    private final TailAdmitter mAdmitter;

    ForwardPolicy(TailRun run) {
        mRun = run;
        mEvents = run.events();
        mAdmitter =
                new TailAdmitter(
                        run, ADMITTER, new TailProcess(), this::answered, request -> run.refused());
        mAdmitter.configure(AdmissionShare.WHOLE, List.of(TailTopology.instance(ADMITTER)));
    }

    @Override
    public void arrive(int request) {
        mEvents.after(
                TailTopology.LONG_DELAY_NANOS + toAdmitter(request),
                () -> mAdmitter.offer(request));
    }

    private void answered(int request) {
        mEvents.after(
                toAdmitter(request) + TailTopology.LONG_DELAY_NANOS, () -> mRun.answered(request));
    }

    private long toAdmitter(int request) {
        return TailTopology.instanceToInstanceNanos(mRun.workload().entries()[request], ADMITTER);
    }
}
