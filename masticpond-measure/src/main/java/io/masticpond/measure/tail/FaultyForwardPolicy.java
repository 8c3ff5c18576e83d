package io.masticpond.measure.tail;

import io.masticpond.core.admission.AdmissionShare;
import io.masticpond.core.id.InstanceId;
import io.masticpond.measure.support.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Policy that forwards requests to an admitter while one admitter is killed and the next one is
 * paused.
 *
 * <p>Broken connections are detected immediately, and requests, all of them idempotent reads, are
 * forwarded again to the next admitter. A paused admitter is suspected after a second of
 * inactivity; when it resumes, it processes the messages in its inbox, and becomes the admitter
 * again once a heartbeat from it is received. Work of a killed admitter continues at the servers,
 * which do not treat its broken connections as cancellation. An admitter that is no longer the
 * first in order refuses its waiting requests, which are forwarded again.
 */
final class FaultyForwardPolicy implements TailPolicy {

    private static final List<Integer> ADMITTERS = List.of(0, 1, 2);
    private static final double KILL_FRACTION = 0.35;
    private static final double PAUSE_FRACTION = 0.65;
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Entry instance, which the client uses, and admitter of a forwarded request. */
    private record ForwardedRequest(int entry, int admitter) {}

    private final TailRun mRun;
    private final EventQueue mEvents;
    private final List<TailProcess> mProcesses = new ArrayList<>();
    private final List<TailAdmitter> mAdmitters = new ArrayList<>();
    private final Map<Integer, ForwardedRequest> mPending = new HashMap<>();
    private int mCurrentAdmitter;

    FaultyForwardPolicy(TailRun run) {
        mRun = run;
        mEvents = run.events();
        for (int i = 0; i < TailTopology.INSTANCES; i++) {
            mProcesses.add(new TailProcess());
        }
        for (int admitter : ADMITTERS) {
            mAdmitters.add(
                    new TailAdmitter(
                            run,
                            admitter,
                            mProcesses.get(admitter),
                            request -> answered(request, admitter),
                            request -> refused(request, admitter)));
        }
        run.reports().setListener(loads -> mAdmitters.forEach(each -> each.report(loads)));
        configure(0, AdmissionShare.WHOLE);
        long end = run.workload().endNanos();
        mEvents.schedule((long) (end * KILL_FRACTION), this::kill);
        mEvents.schedule((long) (end * PAUSE_FRACTION), this::pause);
    }

    @Override
    public void arrive(int request) {
        send(request, mRun.workload().entries()[request]);
    }

    private void send(int request, int entry) {
        mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> enter(request, entry));
    }

    private void enter(int request, int entry) {
        if (mProcesses.get(entry).isTerminated()) {
            int next = (entry + 1) % TailTopology.INSTANCES;
            mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> send(request, next));
            return;
        }
        mProcesses.get(entry).deliver(() -> forward(request, entry));
    }

    private void forward(int request, int entry) {
        int admitter = mCurrentAdmitter;
        mPending.put(request, new ForwardedRequest(entry, admitter));
        mEvents.after(
                TailTopology.instanceToInstanceNanos(entry, admitter),
                () -> mAdmitters.get(admitter).offer(request));
    }

    private void answered(int request, int admitter) {
        ForwardedRequest forwarded = mPending.get(request);
        if (forwarded == null) {
            return;
        }
        Runnable onResponse =
                () -> {
                    if (mPending.remove(request) != null) {
                        mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> mRun.answered(request));
                    }
                };
        mEvents.after(
                TailTopology.instanceToInstanceNanos(admitter, forwarded.entry()),
                () -> mProcesses.get(forwarded.entry()).deliver(onResponse));
    }

    private void refused(int request, int admitter) {
        ForwardedRequest forwarded = mPending.get(request);
        if (forwarded == null || forwarded.admitter() != admitter) {
            return;
        }
        if (admitter != mCurrentAdmitter) {
            mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> forward(request, forwarded.entry()));
            return;
        }
        mPending.remove(request);
        mRun.refused();
    }

    private void kill() {
        int killed = mCurrentAdmitter;
        mProcesses.get(killed).kill();
        mEvents.after(TailTopology.LONG_DELAY_NANOS, () -> replace(killed));
    }

    private void pause() {
        int paused = mCurrentAdmitter;
        mProcesses.get(paused).pause();
        mEvents.after(SUSPECT_NANOS, () -> replace(paused));
        mEvents.after(PAUSE_NANOS, () -> mProcesses.get(paused).resume());
        mEvents.after(PAUSE_NANOS + HEARTBEAT_NANOS, () -> restore(paused));
    }

    /**
     * Makes the next instance the admitter and forwards the requests held by the previous one to
     * it.
     */
    private void replace(int previous) {
        mCurrentAdmitter = previous + 1;
        configure(mCurrentAdmitter, AdmissionShare.WIDENING);
        for (Map.Entry<Integer, ForwardedRequest> each : List.copyOf(mPending.entrySet())) {
            int entry = each.getValue().entry();
            if (each.getValue().admitter() != previous) {
                continue;
            }
            if (mProcesses.get(entry).isTerminated()) {
                mPending.remove(each.getKey());
                send(each.getKey(), (entry + 1) % TailTopology.INSTANCES);
            } else if (entry != previous) {
                mAdmitters.get(previous).cancel(each.getKey());
                forward(each.getKey(), entry);
            }
        }
    }

    private void restore(int first) {
        int previous = mCurrentAdmitter;
        mCurrentAdmitter = first;
        mAdmitters.get(previous).handOver();
        configure(first, AdmissionShare.WIDENING);
    }

    private void configure(int admitter, AdmissionShare share) {
        List<InstanceId> instances = ADMITTERS.stream().map(TailTopology::instance).toList();
        mAdmitters.get(admitter).configure(share, instances);
    }
}
