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
 * Forwarded requests, while one admitter is killed and the next one paused.
 *
 * <p>Broken links are noticed at once, and requests, all idempotent reads, are forwarded again to
 * the next admitter. A paused admitter is suspected after a second of silence; when it wakes, it
 * acts on what it finds in its inbox, and is the admitter again once it is heard from. Work of a
 * dead admitter goes on at the servers, which do not take its broken connections for cancellation.
 * An admitter that is no longer first refuses what waits there, which is forwarded again.
 */
final class FaultyForwardPolicy implements TailPolicy {

    private static final List<Integer> ORDER = List.of(0, 1, 2);
    private static final double KILL_PART = 0.35;
    private static final double PAUSE_PART = 0.65;
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Where a request is: the instance that its client uses, and the admitter. */
    private record Place(int entry, int admitter) {}

    private final TailRun mRun;
    private final EventQueue mEvents;
    private final List<TailProcess> mProcesses = new ArrayList<>();
    private final List<TailAdmitter> mAdmitters = new ArrayList<>();
    private final Map<Integer, Place> mPending = new HashMap<>();
    private int mCurrent;

    FaultyForwardPolicy(TailRun run) {
        mRun = run;
        mEvents = run.events();
        for (int i = 0; i < TailTopology.INSTANCES; i++) {
            mProcesses.add(new TailProcess());
        }
        for (int admitter : ORDER) {
            mAdmitters.add(
                    new TailAdmitter(
                            run,
                            admitter,
                            mProcesses.get(admitter),
                            request -> answered(request, admitter),
                            request -> refused(request, admitter)));
        }
        run.reports().listen(loads -> mAdmitters.forEach(each -> each.report(loads)));
        configure(0, AdmissionShare.WHOLE);
        long end = run.workload().endNanos();
        mEvents.schedule((long) (end * KILL_PART), this::kill);
        mEvents.schedule((long) (end * PAUSE_PART), this::pause);
    }

    @Override
    public void arrive(int request) {
        send(request, mRun.workload().entries()[request]);
    }

    private void send(int request, int entry) {
        mEvents.after(TailTopology.FAR_NANOS, () -> enter(request, entry));
    }

    private void enter(int request, int entry) {
        if (mProcesses.get(entry).isTerminated()) {
            int next = (entry + 1) % TailTopology.INSTANCES;
            mEvents.after(TailTopology.FAR_NANOS, () -> send(request, next));
            return;
        }
        mProcesses.get(entry).deliver(() -> forward(request, entry));
    }

    private void forward(int request, int entry) {
        int admitter = mCurrent;
        mPending.put(request, new Place(entry, admitter));
        mEvents.after(
                TailTopology.instanceToInstanceNanos(entry, admitter),
                () -> mAdmitters.get(admitter).offer(request));
    }

    private void answered(int request, int admitter) {
        Place place = mPending.get(request);
        if (place == null) {
            return;
        }
        Runnable back =
                () -> {
                    if (mPending.remove(request) != null) {
                        mEvents.after(TailTopology.FAR_NANOS, () -> mRun.answered(request));
                    }
                };
        mEvents.after(
                TailTopology.instanceToInstanceNanos(admitter, place.entry()),
                () -> mProcesses.get(place.entry()).deliver(back));
    }

    private void refused(int request, int admitter) {
        Place place = mPending.get(request);
        if (place == null || place.admitter() != admitter) {
            return;
        }
        if (admitter != mCurrent) {
            mEvents.after(TailTopology.FAR_NANOS, () -> forward(request, place.entry()));
            return;
        }
        mPending.remove(request);
        mRun.refused();
    }

    private void kill() {
        int dead = mCurrent;
        mProcesses.get(dead).kill();
        mEvents.after(TailTopology.FAR_NANOS, () -> replace(dead));
    }

    private void pause() {
        int paused = mCurrent;
        mProcesses.get(paused).pause();
        mEvents.after(SUSPECT_NANOS, () -> replace(paused));
        mEvents.after(PAUSE_NANOS, () -> mProcesses.get(paused).wake());
        mEvents.after(PAUSE_NANOS + HEARTBEAT_NANOS, () -> giveBack(paused));
    }

    /** Makes the next instance the admitter and forwards to it what the one before held. */
    private void replace(int before) {
        mCurrent = before + 1;
        configure(mCurrent, AdmissionShare.WIDENING);
        for (Map.Entry<Integer, Place> each : List.copyOf(mPending.entrySet())) {
            int entry = each.getValue().entry();
            if (each.getValue().admitter() != before) {
                continue;
            }
            if (mProcesses.get(entry).isTerminated()) {
                mPending.remove(each.getKey());
                send(each.getKey(), (entry + 1) % TailTopology.INSTANCES);
            } else if (entry != before) {
                mAdmitters.get(before).cancel(each.getKey());
                forward(each.getKey(), entry);
            }
        }
    }

    private void giveBack(int first) {
        int before = mCurrent;
        mCurrent = first;
        mAdmitters.get(before).handOver();
        configure(first, AdmissionShare.WIDENING);
    }

    private void configure(int admitter, AdmissionShare share) {
        List<InstanceId> instances = ORDER.stream().map(TailTopology::instance).toList();
        mAdmitters.get(admitter).configure(share, instances);
    }
}
