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
 * Simulated fleet of instances that send to one server which states a limit, on one simulated
 * clock: reports take time and may be lost, and each instance detects for itself which others are
 * alive.
 */
final class LimitFleet {

    private static final int REGIONS = 3;
    private static final int ZONES = 6;
    private static final long SERVICE_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAXIMUM_TRANSIT_MILLIS = 40;
    private static final long FAILURE_DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    private static final int FAILURE_DETECTION_SPREAD_MILLIS = 900;
    private static final int JOIN_SPREAD_MILLIS = 600;
    private static final long INFORMED_BEFORE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int REPORTERS = 3;
    private static final long REPORT_AFTER_START_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Event at a time; of two events at the same time, the one scheduled first comes first. */
    private record Event(long atNanos, long order, Runnable action) {}

    /** Request that reached the server, and whether its instance had been informed of a limit. */
    private record Received(long nanos, boolean wasInformed) {}

    /** Simulated instance. */
    final class Instance implements LimitListener {

        final OwnerCandidate mSelf;
        final int mRegion;
        ServerLimits mLimits;
        boolean mIsUp = true;
        long mSuspendedNanos;
        boolean mIsSuspended;
        long mRun;
        long mInformedNanos;
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
            mInformedNanos = Long.MAX_VALUE;
            mLimits =
                    new ServerLimits(
                            ServerLimitSettings.DEFAULT,
                            mSelf,
                            zone -> Optional.of(new RegionId("region-" + regionOf(zone))),
                            this,
                            monotonic());
        }

        private long monotonic() {
            return mNowNanos - mSuspendedNanos;
        }

        private Moment moment() {
            return new Moment(monotonic(), TimeUnit.NANOSECONDS.toMillis(mNowNanos));
        }

        private boolean isActing() {
            return mIsUp && !mIsSuspended;
        }

        /** Updates the instances that this instance can reach now. */
        private void updateView() {
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
            return !mIsPartitioned || other.mRegion == mRegion;
        }

        /** Handles a client request whose key is homed at the server. */
        private void arrive() {
            if (!isActing()) {
                return;
            }
            mRequests++;
            if (mLimits.share(mServer, monotonic()) < mRandom.nextDouble()
                    || !mLimits.tryPermit(mServer, monotonic())) {
                return;
            }
            long run = mRun;
            long sent = monotonic();
            after(transitNanos(), () -> serve(run, sent));
        }

        private void serve(long run, long sent) {
            boolean wasInformed = run == mRun && mNowNanos - mInformedNanos > INFORMED_BEFORE_NANOS;
            mArrived.add(new Received(mNowNanos, wasInformed));
            long serviceNanos = (long) (SERVICE_TIME_NANOS * (0.5 + mRandom.nextDouble()));
            after(
                    serviceNanos,
                    () -> {
                        LimitHeader header = mLimitHeader;
                        after(transitNanos(), () -> receive(run, sent, header));
                    });
        }

        private void receive(long run, long sent, LimitHeader header) {
            if (isActing() && run == mRun) {
                if (header.kind() == LimitHeader.Kind.LIMITED && mInformedNanos == Long.MAX_VALUE) {
                    mInformedNanos = mNowNanos;
                }
                mLimits.applyAnswer(mServer, header, sent, moment());
            }
        }

        @Override
        public void onViewChanged(LimitView view) {
            mChanges++;
        }

        @Override
        public void onReport(LimitReport report) {
            after(
                    BATCH_NANOS,
                    () -> mInstances.stream().filter(e -> e != this).forEach(e -> send(e, report)));
        }

        @Override
        public void onMalformed(BackendServerId server) {}

        private void send(Instance to, LimitReport report) {
            mMessages++;
            if (mRandom.nextDouble() < mLossShare || !reaches(to)) {
                return;
            }
            after(
                    transitNanos(),
                    () -> {
                        if (to.isActing()) {
                            to.mLimits.applyReport(mServer, report, to.moment());
                        }
                    });
        }

        private void repeatReport() {
            sendAllReports(mInstances.get(mRandom.nextInt(mInstances.size())));
        }

        void kill() {
            mIsUp = false;
        }

        void restart() {
            mIsUp = true;
            mView = List.of();
            start();
            updateView();
            for (int reporter = 0; reporter < REPORTERS; reporter++) {
                Instance from = mInstances.get(mRandom.nextInt(mInstances.size()));
                after(REPORT_AFTER_START_NANOS, () -> from.sendAllReports(this));
            }
        }

        private void sendAllReports(Instance to) {
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
                        mSuspendedNanos += nanos;
                        after(0, this::updateView);
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
    private LimitHeader mLimitHeader = LimitHeader.ABSENT;
    private double mLossShare;
    private boolean mIsPartitioned;
    private long mNowNanos;
    private long mOrder;
    private int mRequests;
    private int mChanges;

    LimitFleet(int instances, double demandPerSecond, long seed) {
        mRandom = new Random(seed);
        for (int number = 0; number < instances; number++) {
            mInstances.add(new Instance(number));
        }
        mInstances.forEach(Instance::updateView);
        scheduleRequests(demandPerSecond);
        after(REPEAT_NANOS, this::repeatReport);
    }

    private static int regionOf(ZoneId zone) {
        return Integer.parseInt(zone.value().substring("zone-".length())) % REGIONS;
    }

    private void scheduleRequests(double perSecond) {
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * 1e9);
        after(
                gap,
                () -> {
                    mInstances.get(mRandom.nextInt(mInstances.size())).arrive();
                    scheduleRequests(perSecond);
                });
    }

    private void repeatReport() {
        mInstances.forEach(Instance::repeatReport);
        after(REPEAT_NANOS, this::repeatReport);
    }

    private long transitNanos() {
        return TimeUnit.MILLISECONDS.toNanos(1 + mRandom.nextInt(MAXIMUM_TRANSIT_MILLIS));
    }

    List<Instance> instances() {
        return mInstances;
    }

    void setLossShare(double share) {
        mLossShare = share;
    }

    /** Partitions the regions from each other, or reconnects them. */
    void setPartitioned(boolean isPartitioned) {
        mIsPartitioned = isPartitioned;
        viewsChange(isPartitioned);
    }

    /**
     * Schedules when each instance detects, after its own delay, that others have left or joined.
     */
    void viewsChange(boolean isLoss) {
        for (Instance each : mInstances) {
            int spread = isLoss ? FAILURE_DETECTION_SPREAD_MILLIS : JOIN_SPREAD_MILLIS;
            long wait = TimeUnit.MILLISECONDS.toNanos(mRandom.nextInt(spread));
            after(wait + (isLoss ? FAILURE_DETECTION_NANOS : 0), each::updateView);
        }
    }

    /** Sets the limit that the server states from now on; {@code null} for none. */
    void setLimit(Double perSecond) {
        mLimitHeader =
                perSecond == null
                        ? LimitHeader.ABSENT
                        : new LimitHeader(LimitHeader.Kind.LIMITED, perSecond);
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + nanos, mOrder++, action));
    }

    void advance(double seconds) {
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

    /** Returns the number of requests that reached the server since a time. */
    long received(double fromSeconds) {
        return mArrived.stream().filter(each -> each.nanos() >= fromSeconds * 1e9).count();
    }

    /** Returns the load of the fullest window since a time, as a fraction of the allowed bound. */
    double maximumUse(double fromSeconds, double limit) {
        return maximumUse(fromSeconds, limit, each -> true);
    }

    /**
     * Returns the same fraction for the instances whose run had been informed half a second before,
     * as the bound is specified.
     */
    double maximumUseOfInformed(double fromSeconds, double limit) {
        return maximumUse(fromSeconds, limit, Received::wasInformed);
    }

    private double maximumUse(double fromSeconds, double limit, Predicate<Received> which) {
        long window = ServerLimitSettings.DEFAULT.window().toNanos();
        List<Long> times =
                mArrived.stream()
                        .filter(which)
                        .map(Received::nanos)
                        .filter(nanos -> nanos >= fromSeconds * 1e9)
                        .sorted()
                        .toList();
        int first = 0;
        int maximum = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= window) {
                first++;
            }
            maximum = Math.max(maximum, last - first + 1);
        }
        ServerLimitSettings bound = ServerLimitSettings.DEFAULT;
        return maximum / (bound.tolerance() * window / 1e9 * limit + bound.burst());
    }

    long messages() {
        return mInstances.stream().mapToLong(each -> each.mMessages).sum();
    }

    int changes() {
        return mChanges;
    }
}
