package io.masticpond.core.serverlimit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.time.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Instances that send to one server which names a limit, on one simulated clock: news takes its
 * time and may be lost, and each instance learns for itself which others there are.
 */
final class LimitFleet {

    private static final int REGIONS = 3;
    private static final int ZONES = 6;
    private static final long WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long BUNDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MOST_ON_THE_WAY_MILLIS = 40;
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    private static final int SILENT_SPREAD_MILLIS = 900;
    private static final int JOIN_SPREAD_MILLIS = 600;
    private static final long TOLD_BEFORE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int TELLERS = 3;
    private static final long TOLD_AFTER_START_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Something that happens at a time; of two at one time the first that was planned. */
    private record Event(long atNanos, long order, Runnable action) {}

    /** A request at the server, and whether it came from an instance that was told of a limit. */
    private record Received(long nanos, boolean wasTold) {}

    /** One instance. */
    final class Instance implements LimitListener {

        final OwnerCandidate mSelf;
        final int mRegion;
        ServerLimits mLimits;
        boolean mIsUp = true;
        long mStoodStillNanos;
        boolean mIsSuspended;
        long mRun;
        long mToldNanos;
        long mMessages;
        private List<OwnerCandidate> mView = List.of();

        private Instance(int number) {
            mRegion = number % REGIONS;
            mSelf =
                    new OwnerCandidate(
                            new InstanceId("instance-" + number),
                            new ZoneId("zone-" + number % ZONES));
            start();
        }

        private void start() {
            mRun++;
            mToldNanos = Long.MAX_VALUE;
            mLimits =
                    new ServerLimits(
                            ServerLimitSettings.DEFAULT,
                            mSelf,
                            zone -> Optional.of(new RegionId("region-" + regionOf(zone))),
                            this,
                            monotonic());
        }

        private long monotonic() {
            return mNowNanos - mStoodStillNanos;
        }

        private Moment moment() {
            return new Moment(monotonic(), TimeUnit.NANOSECONDS.toMillis(mNowNanos));
        }

        private boolean isActing() {
            return mIsUp && !mIsSuspended;
        }

        /** Takes the instances that it hears now. */
        private void look() {
            if (!isActing()) {
                return;
            }
            List<OwnerCandidate> alive = new ArrayList<>();
            int known = 0;
            for (Instance each : mInstances) {
                known += each.mIsUp ? 1 : 0;
                if (each.isActing() && reaches(each)) {
                    alive.add(each.mSelf);
                }
            }
            mView = alive;
            mLimits.updateInstances(mView, known, monotonic());
        }

        private boolean reaches(Instance other) {
            return !mIsCut || other.mRegion == mRegion;
        }

        /** A request comes whose key has its home at the server. */
        private void arrive() {
            if (!isActing()) {
                return;
            }
            mAsked++;
            if (mLimits.share(mServer, monotonic()) < mRandom.nextDouble()
                    || !mLimits.tryPermit(mServer, monotonic())) {
                return;
            }
            long run = mRun;
            long sent = monotonic();
            after(onTheWay(), () -> serve(run, sent));
        }

        private void serve(long run, long sent) {
            boolean wasTold = run == mRun && mNowNanos - mToldNanos > TOLD_BEFORE_NANOS;
            mArrived.add(new Received(mNowNanos, wasTold));
            long work = (long) (WORK_NANOS * (0.5 + mRandom.nextDouble()));
            after(
                    work,
                    () -> {
                        LimitHeader header = mNamed;
                        after(onTheWay(), () -> hear(run, sent, header));
                    });
        }

        private void hear(long run, long sent, LimitHeader header) {
            if (isActing() && run == mRun) {
                if (header.kind() == LimitHeader.Kind.LIMITED && mToldNanos == Long.MAX_VALUE) {
                    mToldNanos = mNowNanos;
                }
                mLimits.answered(mServer, header, sent, moment());
            }
        }

        @Override
        public void onViewChanged(LimitView belief) {
            mChanges++;
        }

        @Override
        public void onReport(LimitReport report) {
            after(
                    BUNDLE_NANOS,
                    () -> mInstances.stream().filter(e -> e != this).forEach(e -> send(e, report)));
        }

        @Override
        public void onMalformed(BackendServerId server) {}

        private void send(Instance to, LimitReport report) {
            mMessages++;
            if (mRandom.nextDouble() < mLost || !reaches(to)) {
                return;
            }
            after(
                    onTheWay(),
                    () -> {
                        if (to.isActing()) {
                            to.mLimits.received(mServer, report, to.moment());
                        }
                    });
        }

        private void repeat() {
            tellAll(mInstances.get(mRandom.nextInt(mInstances.size())));
        }

        void kill() {
            mIsUp = false;
        }

        void startAgain() {
            mIsUp = true;
            mView = List.of();
            start();
            look();
            for (int teller = 0; teller < TELLERS; teller++) {
                Instance from = mInstances.get(mRandom.nextInt(mInstances.size()));
                after(TOLD_AFTER_START_NANOS, () -> from.tellAll(this));
            }
        }

        private void tellAll(Instance to) {
            if (isActing()) {
                mLimits.reports(moment()).forEach(report -> send(to, report));
            }
        }

        void suspend(long nanos) {
            mIsSuspended = true;
            after(
                    nanos,
                    () -> {
                        mIsSuspended = false;
                        mStoodStillNanos += nanos;
                        after(0, this::look);
                        viewsChange(false);
                    });
            viewsChange(true);
        }
    }

    private final Random mRandom;
    private final List<Instance> mInstances = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final RegisteredServer mServer =
            new RegisteredServer(
                    new BackendServerId("server"),
                    new ServiceId("service"),
                    new ServerAddress("10.0.0.1", 80),
                    new ZoneId("zone-1"),
                    4,
                    false,
                    0);
    private final List<Received> mArrived = new ArrayList<>();
    private LimitHeader mNamed = LimitHeader.ABSENT;
    private double mLost;
    private boolean mIsCut;
    private long mNowNanos;
    private long mOrder;
    private int mAsked;
    private int mChanges;

    LimitFleet(int instances, double demandPerSecond, long seed) {
        mRandom = new Random(seed);
        for (int number = 0; number < instances; number++) {
            mInstances.add(new Instance(number));
        }
        mInstances.forEach(Instance::look);
        demand(demandPerSecond);
        after(REPEAT_NANOS, this::repeat);
    }

    private static int regionOf(ZoneId zone) {
        return Integer.parseInt(zone.value().substring("zone-".length())) % REGIONS;
    }

    private void demand(double perSecond) {
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * 1e9);
        after(
                gap,
                () -> {
                    mInstances.get(mRandom.nextInt(mInstances.size())).arrive();
                    demand(perSecond);
                });
    }

    private void repeat() {
        mInstances.forEach(Instance::repeat);
        after(REPEAT_NANOS, this::repeat);
    }

    private long onTheWay() {
        return TimeUnit.MILLISECONDS.toNanos(1 + mRandom.nextInt(MOST_ON_THE_WAY_MILLIS));
    }

    List<Instance> instances() {
        return mInstances;
    }

    void lose(double share) {
        mLost = share;
    }

    /** Cuts the regions from each other, or joins them. */
    void cut(boolean isCut) {
        mIsCut = isCut;
        viewsChange(isCut);
    }

    /** All instances notice, each in its time, that others have gone or come. */
    void viewsChange(boolean isLoss) {
        for (Instance each : mInstances) {
            int spread = isLoss ? SILENT_SPREAD_MILLIS : JOIN_SPREAD_MILLIS;
            long wait = TimeUnit.MILLISECONDS.toNanos(mRandom.nextInt(spread));
            after(wait + (isLoss ? SILENT_NANOS : 0), each::look);
        }
    }

    /** The server names a limit from now on; null for none. */
    void name(Double perSecond) {
        mNamed =
                perSecond == null
                        ? LimitHeader.ABSENT
                        : new LimitHeader(LimitHeader.Kind.LIMITED, perSecond);
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + nanos, mOrder++, action));
    }

    void pass(double seconds) {
        long endNanos = mNowNanos + (long) (seconds * 1e9);
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }

    double seconds() {
        return mNowNanos / 1e9;
    }

    /** Counts what reached the server since a time. */
    long received(double fromSeconds) {
        return mArrived.stream().filter(each -> each.nanos() >= fromSeconds * 1e9).count();
    }

    /** Gives the fullest window since a time, as a part of what users allow. */
    double worst(double fromSeconds, double limit) {
        return worst(fromSeconds, limit, each -> true);
    }

    /** Gives the same of the instances whose run had been told half a second before, as stated. */
    double worstOfTold(double fromSeconds, double limit) {
        return worst(fromSeconds, limit, Received::wasTold);
    }

    private double worst(double fromSeconds, double limit, Predicate<Received> which) {
        long window = ServerLimitSettings.DEFAULT.window().toNanos();
        List<Long> times =
                mArrived.stream()
                        .filter(which)
                        .map(Received::nanos)
                        .filter(nanos -> nanos >= fromSeconds * 1e9)
                        .sorted()
                        .toList();
        int first = 0;
        int most = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= window) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        ServerLimitSettings bound = ServerLimitSettings.DEFAULT;
        return most / (bound.tolerance() * window / 1e9 * limit + bound.burst());
    }

    long messages() {
        return mInstances.stream().mapToLong(each -> each.mMessages).sum();
    }

    int changes() {
        return mChanges;
    }
}
