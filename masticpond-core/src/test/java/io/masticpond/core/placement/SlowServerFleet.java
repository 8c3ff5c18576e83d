package io.masticpond.core.placement;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import io.masticpond.core.support.HashMixer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Driver that plays requests of several instances to servers of one service, of which some are slow
 * for a short time each. Servers cache a number of objects; a cache miss takes 3.3 times as long as
 * a hit.
 */
final class SlowServerFleet {

    static final ServiceId SERVICE = new ServiceId("lookup");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final long MILLI = 1_000_000;
    private static final int SERVERS = 24;
    private static final int SLOTS = 6;
    private static final int INSTANCES = 24;
    private static final int INSTANCES_PER_ZONE = 4;
    private static final double MISS_MILLIS = 613;
    private static final double HIT_PART = 0.3;
    private static final double SLOWDOWN = 2.5;
    private static final double SLOW_MILLIS = 600;
    private static final double WARM_UP_MILLIS = 8_000;
    private static final long TARGET_MILLIS = 544;
    private static final long DEADLINE_MILLIS = 4_246;

    private final Random mArrivals;
    private final boolean mReportsTime;
    private final double mSlowPart;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::millis).thenComparing(Event::number));
    private final List<Machine> mMachines = new ArrayList<>();
    private final List<Instance> mInstances = new ArrayList<>();
    private final int mObjects;
    private double mNow;
    private long mEventCount;
    private int mRequests;
    private int mInTime;
    private int mLate;
    private int mHits;
    private int mMoved;

    SlowServerFleet(
            long seed, LoadControlMode mode, boolean reportsTime, double slowPart, int objects) {
        mArrivals = new Random(seed);
        mReportsTime = reportsTime;
        mSlowPart = slowPart;
        mObjects = objects;
        for (int each = 0; each < SERVERS; each++) {
            mMachines.add(new Machine(16 + mArrivals.nextInt(37), mArrivals.nextLong()));
        }
        for (int each = 0; each < INSTANCES; each++) {
            mInstances.add(new Instance(mode));
        }
    }

    static ServerTable table(int run) {
        ServerTable table = new ServerTable(ZONE, Map.of(ZONE, new RegionId("r")));
        table.update(snapshot(run), 0);
        return table;
    }

    static FleetSnapshot snapshot(int run) {
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>();
        for (int each = 0; each < SERVERS; each++) {
            BackendServerId id = new BackendServerId("s" + each);
            ServerAddress address = new ServerAddress("127.0.0.1", 1_000 + each);
            servers.put(
                    id,
                    new RegisteredServer(
                            id, SERVICE, address, ZONE, SLOTS, false, Long.MIN_VALUE / 2, run));
        }
        return new FleetSnapshot(1 + run, Optional.empty(), servers, Set.of());
    }

    /** Plays requests and returns the mean value of an answer: 1 in time, 0.2 late, else 0. */
    double play(double perSecond, double seconds) {
        double end = WARM_UP_MILLIS + seconds * 1_000;
        mMachines.forEach(Machine::change);
        arrive(perSecond, end);
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNow = event.millis();
            if (mNow > end + DEADLINE_MILLIS) {
                break;
            }
            event.action().run();
        }
        return (mInTime + 0.2 * mLate) / mRequests;
    }

    double inTimePart() {
        return (double) mInTime / mRequests;
    }

    double hitPart() {
        return (double) mHits / mRequests;
    }

    double movedPart() {
        return (double) mMoved / mRequests;
    }

    private void arrive(double perSecond, double end) {
        if (mNow < end) {
            new Request(mInstances.get(mArrivals.nextInt(INSTANCES))).send();
            after(exponential(mArrivals, 1_000 / perSecond), () -> arrive(perSecond, end));
        }
    }

    private static double exponential(Random random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void after(double millis, Runnable action) {
        mEvents.add(new Event(mNow + millis, mEventCount++, action));
    }

    private long nowNanos() {
        return (long) (mNow * MILLI);
    }

    private record Event(double millis, long number, Runnable action) {}

    /** One instance with its own view of the servers. */
    private final class Instance {

        private final int mNumber = mInstances.size();
        private final ServerTable mServers = table(0);
        private final RequestPlacer mPlacer;

        Instance(LoadControlMode mode) {
            mPlacer =
                    new RequestPlacer(
                            new ServerChooser(
                                    PlacementSettings.DEFAULT,
                                    new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT),
                                    new LoadControlActivation(
                                            new LoadControlSettings(mode, 0, 0, 0.95, 1.5))),
                            LoadGate.OPEN);
            mPlacer.sharedLoads().setPendingListener(() -> after(100, this::share));
        }

        private void share() {
            List<LoadReport> reports = mPlacer.sharedLoads().take();
            for (Instance each : mInstances) {
                if (each != this
                        && each.mNumber / INSTANCES_PER_ZONE == mNumber / INSTANCES_PER_ZONE) {
                    after(1, () -> each.receive(reports));
                }
            }
        }

        private void receive(List<LoadReport> reports) {
            mPlacer.sharedLoads().receive(mServers, reports, nowNanos());
        }
    }

    /** One request of a client. */
    private final class Request implements Candidates {

        private final Instance mInstance;
        private final double mArrival = mNow;
        private final int mObject = (int) (mObjects * Math.pow(mArrivals.nextDouble(), 2));
        private ServerChoice mChoice;

        Request(Instance instance) {
            mInstance = instance;
        }

        void send() {
            mRequests += mArrival < WARM_UP_MILLIS ? 0 : 1;
            PlacementRequest request =
                    new PlacementRequest(
                            route(),
                            SERVICE,
                            HashMixer.hash("object" + mObject),
                            Optional.empty(),
                            DEADLINE_MILLIS * MILLI);
            Placement placement =
                    mInstance.mPlacer.place(
                            request, mInstance.mServers.of(SERVICE), this, nowNanos());
            mChoice = ((Placement.Placed) placement).choice();
            mInstance.mPlacer.sent(mChoice.load(), nowNanos());
            String id = mChoice.load().server().id().value();
            Machine machine = mMachines.get(Integer.parseInt(id.substring(1)));
            after(1, () -> machine.arrived(this));
        }

        void answered(ReportedLoad load, boolean isHit) {
            ServerLoad server = mChoice.load();
            server.requestEnded();
            long nanos = (long) ((mNow - mArrival) * MILLI);
            RequestPlacer placer = mInstance.mPlacer;
            placer.reported(server, load, nowNanos());
            placer.succeeded(server, nanos, load.waiting() > 0, nowNanos());
            placer.chooser()
                    .speeds()
                    .recordRun(mChoice, route().id(), Optional.of(load), nanos, MILLI, nowNanos());
            if (mArrival < WARM_UP_MILLIS) {
                return;
            }
            mInTime += mNow - mArrival <= TARGET_MILLIS ? 1 : 0;
            mLate += mNow - mArrival > TARGET_MILLIS && mNow - mArrival <= DEADLINE_MILLIS ? 1 : 0;
            mHits += isHit ? 1 : 0;
            mMoved += mChoice.rank() > 0 ? 1 : 0;
        }

        @Override
        public boolean isUsable(ServerLoad load) {
            return true;
        }

        @Override
        public boolean isCold(ServerLoad load) {
            return false;
        }

        @Override
        public boolean tryPermit(ServerLoad load) {
            return true;
        }
    }

    static Route route() {
        return new Route(
                new RouteId("tariff-check"),
                "host",
                "/",
                true,
                Duration.ofMillis(DEADLINE_MILLIS),
                Duration.ofMillis(TARGET_MILLIS),
                0,
                3,
                true,
                Set.of(),
                List.of(new WeightedService(SERVICE, 1)));
    }

    /** One server, which executes the requests in the order of their arrival. */
    private final class Machine {

        private final Map<Integer, Boolean> mCache;
        private final Random mSpeedChanges;
        private final Random mNoise;
        private final Deque<Request> mQueue = new ArrayDeque<>();
        private int mRunning;
        private boolean mIsSlow;

        Machine(int cached, long seed) {
            mSpeedChanges = new Random(seed);
            mNoise = new Random(seed + 1);
            mCache =
                    new LinkedHashMap<>(16, 0.75f, true) {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                            return size() > cached;
                        }
                    };
        }

        void change() {
            mIsSlow = !mIsSlow && mSlowPart > 0;
            double mean =
                    mIsSlow
                            ? SLOW_MILLIS
                            : SLOW_MILLIS * (1 - mSlowPart) / Math.max(0.01, mSlowPart);
            after(
                    mIsSlow
                            ? mean * (0.5 + mSpeedChanges.nextDouble())
                            : exponential(mSpeedChanges, mean),
                    this::change);
        }

        void arrived(Request request) {
            mQueue.add(request);
            startNext();
        }

        private void startNext() {
            if (mRunning == SLOTS || mQueue.isEmpty()) {
                return;
            }
            Request request = mQueue.remove();
            mRunning++;
            boolean isHit = mCache.containsKey(request.mObject);
            double millis = MISS_MILLIS * (isHit ? HIT_PART : 1) * (mIsSlow ? SLOWDOWN : 1);
            millis *= Math.exp(0.15 * mNoise.nextGaussian());
            after(millis, () -> ended(request, isHit));
        }

        private void ended(Request request, boolean isHit) {
            mCache.put(request.mObject, true);
            mRunning--;
            startNext();
            int percent = mIsSlow ? (int) (SLOWDOWN * 100) : 100;
            ReportedLoad load =
                    new ReportedLoad(
                            mRunning,
                            mQueue.size(),
                            SLOTS,
                            mReportsTime ? OptionalInt.of(percent) : OptionalInt.empty());
            after(1, () -> request.answered(load, isHit));
        }
    }
}
