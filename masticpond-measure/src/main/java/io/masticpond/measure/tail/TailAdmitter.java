package io.masticpond.measure.tail;

import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.AdmissionShare;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.measure.support.EventQueue;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/** Adapter that runs the real admission at one instance and dispatches to the fake servers. */
final class TailAdmitter implements AdmissionSink {

    private static final ServiceId SERVICE = new ServiceId("layout-view");
    private static final Shard SHARD = new Shard(SERVICE, new RegionId("casa"), 0);
    private static final int PRIORITY = 5;
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final TailRun mRun;
    private final EventQueue mEvents;
    private final int mInstance;
    private final TailProcess mProcess;
    private final IntConsumer mAnswered;
    private final IntConsumer mRefused;
    private final DefaultAdmission mAdmission;
    private final List<BackendServerSpecification> mServers = TailTopology.servers();

    /**
     * Creates an admitter without servers and starts its periodic tick.
     *
     * @param run the run
     * @param instance the number of its instance
     * @param process the process of its instance
     * @param answered called with a request when its answer has arrived at the admitter
     * @param refused called with a request that the admitter refuses
     */
    TailAdmitter(
            TailRun run,
            int instance,
            TailProcess process,
            IntConsumer answered,
            IntConsumer refused) {
        mRun = run;
        mEvents = run.events();
        mInstance = instance;
        mProcess = process;
        mAnswered = answered;
        mRefused = refused;
        mAdmission =
                new DefaultAdmission(
                        SHARD,
                        AdmissionSettings.DEFAULT.withReportLag(LoadReportFeed.MAXIMUM_AGE),
                        mEvents.timeSource(),
                        this,
                        Timeline.NONE);
        mEvents.after(TICK_PERIOD_NANOS, this::tick);
    }

    /**
     * Configures the admission.
     *
     * @param share the share of the slots that this admitter may use
     * @param admitters the instances that may admit
     */
    void configure(AdmissionShare share, List<InstanceId> admitters) {
        SlotShare slots = new SlotShare(share, TailTopology.instance(mInstance), admitters);
        mProcess.deliver(() -> mAdmission.configure(mServers, slots));
    }

    /**
     * Gives up the admitter role: waiting requests are refused immediately, requests in flight
     * continue.
     */
    void handOver() {
        SlotShare slots = SlotShare.whole(TailTopology.instance(mInstance));
        mProcess.deliver(() -> mAdmission.configure(List.of(), slots));
    }

    /**
     * Offers a request that arrives at this admitter.
     *
     * @param request the request
     */
    void offer(int request) {
        mProcess.deliver(() -> mAdmission.offer(head(request)));
    }

    /**
     * Cancels a request, when its cancellation arrives at this admitter.
     *
     * @param request the request
     */
    void cancel(int request) {
        mProcess.deliver(() -> mAdmission.cancel(head(request).id()));
    }

    /**
     * Records load reports that arrive at this admitter.
     *
     * @param loads the load that each server reports
     */
    void report(int[] loads) {
        for (int server = 0; server < loads.length; server++) {
            BackendServerSignal signal =
                    new BackendServerSignal(BackendServerSignal.Kind.HEALTHY, loads[server]);
            BackendServerId id = mServers.get(server).id();
            mProcess.deliver(() -> mAdmission.observe(id, signal));
        }
    }

    @Override
    public void dispatch(RequestHead head, BackendServerId id) {
        int request = number(head.id().value());
        int server = number(id.value());
        long delay = TailTopology.instanceToServerNanos(mInstance, server);
        Runnable onResponse =
                () -> {
                    mAnswered.accept(request);
                    mAdmission.complete(head.id(), AttemptOutcome.ANSWERED);
                };
        Runnable onServed = () -> mEvents.after(delay, () -> mProcess.deliver(onResponse));
        mEvents.after(delay, () -> mRun.serve(server, request, onServed));
    }

    @Override
    public void refuse(RequestHead head, Refusal refusal) {
        mRefused.accept(number(head.id().value()));
    }

    private void tick() {
        mProcess.deliver(mAdmission::advance);
        if (mEvents.nanos() < mRun.workload().endNanos()) {
            mEvents.after(TICK_PERIOD_NANOS, this::tick);
        }
    }

    private RequestHead head(int request) {
        return new RequestHead(
                new RequestId("request-" + request),
                SERVICE,
                mRun.workload().arrivalNanos()[request] + DEADLINE_NANOS,
                PRIORITY,
                OperationKind.READ);
    }

    private static int number(String text) {
        return Integer.parseInt(text, text.lastIndexOf('-') + 1, text.length(), 10);
    }
}
