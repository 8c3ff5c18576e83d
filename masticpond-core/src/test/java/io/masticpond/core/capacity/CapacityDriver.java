package io.masticpond.core.capacity;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.Distance;
import io.masticpond.core.placement.Placement;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.placement.PriorityLoadGate;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import io.masticpond.core.support.HashMixer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.apache.commons.rng.simple.RandomSource;

/** Driver of instances, backend servers and clients in virtual time, for one service. */
final class CapacityDriver {

    static final ServiceId SERVICE = new ServiceId("service");
    static final int SLOTS = 6;
    static final double MISS_SECONDS = 0.4;
    static final double HIT_PART = 0.3;
    static final int TARGET_MILLIS = 300;
    static final int TIMEOUT_MILLIS = 2_500;

    private static final long SECOND = 1_000_000_000L;
    private static final long REPORT_PERIOD = SECOND / 4;
    private static final int CACHED_OBJECTS = 24;

    final List<Instance> mInstances = new ArrayList<>();
    final Map<String, Served> mServed = new TreeMap<>();

    /** Number of instances that may be sending; 0 for the number of those that are alive. */
    int mSendingInstances;

    boolean mReportsStopped;

    private final List<Server> mServers = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final LoadControlSettings mSettings;
    private final Random mRandom;
    private final Map<ZoneId, RegionId> mRegions = new HashMap<>();
    private long mNow = SECOND;
    private long mSequence;

    CapacityDriver(LoadControlMode mode, long seed) {
        mSettings = new LoadControlSettings(mode, 0, 0, 0.95, 1.5);
        mRandom = new Random(seed);
        at(mNow + REPORT_PERIOD, this::exchangeReports);
    }

    /** Adds two availability zones with half of the servers and instances each. */
    void addRegion(String region, int servers, int instances) {
        for (int each = 0; each < 2; each++) {
            mRegions.put(new ZoneId(region + each), new RegionId(region));
        }
        for (int each = 0; each < servers; each++) {
            mServers.add(new Server(mServers.size(), new ZoneId(region + each % 2)));
        }
        for (int each = 0; each < instances; each++) {
            mInstances.add(new Instance(new ZoneId(region + each % 2)));
        }
    }

    /** Connects the instances to all servers; called after all regions were added. */
    void connect() {
        mInstances.forEach(Instance::connect);
    }

    void fillCaches(int objects) {
        for (int object = 0; object < objects; object++) {
            for (Server server : mServers) {
                server.mCache.put(object, true);
            }
        }
    }

    /** Returns the requests per second that all servers can process if all are hits. */
    double hitCapacity() {
        return mServers.size() * SLOTS / (MISS_SECONDS * HIT_PART);
    }

    /** Lets clients of an instance send requests at a rate that depends on the time in seconds. */
    void send(Instance instance, String name, int priority, int objects, DoubleUnaryOperator rate) {
        Clients clients = new Clients(instance, name, priority, objects, rate, route(priority));
        at(mNow, clients::sendNext);
    }

    void run(double seconds) {
        long end = mNow + (long) (seconds * SECOND);
        while (!mEvents.isEmpty() && mEvents.peek().time() <= end) {
            Event event = mEvents.poll();
            mNow = event.time();
            event.action().run();
        }
        mNow = end;
    }

    void at(long time, Runnable action) {
        mEvents.add(new Event(time, mSequence++, action));
    }

    double seconds() {
        return (double) mNow / SECOND - 1;
    }

    void atSecond(double second, Runnable action) {
        at(SECOND + (long) (second * SECOND), action);
    }

    private void exchangeReports() {
        at(mNow + REPORT_PERIOD, this::exchangeReports);
        if (mReportsStopped) {
            return;
        }
        for (Instance each : mInstances) {
            if (each.mAlive) {
                each.mReport = each.mGate.demandSource().demand(mNow);
                each.mReportNanos = mNow;
            }
            if (each.mNonsense != null) {
                each.mReport = each.mNonsense;
            }
        }
    }

    static Route route(int priority) {
        return new Route(
                new RouteId("route-" + priority),
                "host",
                "/",
                true,
                Duration.ofMillis(TIMEOUT_MILLIS),
                Duration.ofMillis(TARGET_MILLIS),
                priority,
                2,
                true,
                Set.of(),
                List.of(new WeightedService(SERVICE, 1)));
    }

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(time, other.time);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    /** Instance with its own view of the servers. */
    final class Instance {

        final ZoneId mZone;
        final CapacityGate mGate;
        boolean mAlive = true;
        Map<DemandKey, Demand> mNonsense;
        private final RequestPlacer mPlacer;
        private final List<ServerLoad> mLoads = new ArrayList<>();
        Map<DemandKey, Demand> mReport = Map.of();
        long mReportNanos = Long.MIN_VALUE / 2;

        Instance(ZoneId zone) {
            mZone = zone;
            AdmissionLimitSettings settings = AdmissionLimitSettings.DEFAULT;
            mGate =
                    new CapacityGate(
                            new PriorityLoadGate(settings, RandomSource.SPLIT_MIX_64.create(1)),
                            new LoadControlActivation(mSettings),
                            zone,
                            mRegions,
                            settings,
                            RandomSource.SPLIT_MIX_64.create(mInstances.size()));
            mGate.setFleetDemand(new DriverReports(CapacityDriver.this, this));
            mPlacer =
                    new RequestPlacer(
                            new ServerChooser(
                                    PlacementSettings.DEFAULT,
                                    new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT)),
                            mGate);
        }

        private void connect() {
            for (Server server : mServers) {
                mLoads.add(new ServerLoad(server.mServer, distance(server.mServer.zone())));
            }
        }

        private Distance distance(ZoneId zone) {
            if (zone.equals(mZone)) {
                return Distance.SAME_ZONE;
            }
            return mRegions.get(zone).equals(mRegions.get(mZone))
                    ? Distance.SAME_REGION
                    : Distance.OTHER_REGION;
        }
    }

    /** Backend server with slots, a queue in order of arrival and a cache of objects. */
    private final class Server {

        private final RegisteredServer mServer;
        private final Deque<Sent> mWaiting = new ArrayDeque<>();
        private final Map<Integer, Boolean> mCache =
                new LinkedHashMap<>(16, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                        return size() > CACHED_OBJECTS;
                    }
                };
        private int mRunning;

        Server(int number, ZoneId zone) {
            mServer =
                    new RegisteredServer(
                            new BackendServerId("server-" + number),
                            SERVICE,
                            new ServerAddress("127.0.0.1", 1_000 + number),
                            zone,
                            SLOTS,
                            false,
                            0);
        }

        void accept(Sent sent) {
            if (mRunning < SLOTS) {
                start(sent);
            } else {
                mWaiting.add(sent);
            }
        }

        private void start(Sent sent) {
            mRunning++;
            boolean isHit = mCache.put(sent.object(), true) != null;
            double seconds = MISS_SECONDS * (isHit ? HIT_PART : 1);
            seconds *= 0.7 + 0.6 * mRandom.nextDouble();
            at(mNow + (long) (seconds * SECOND), () -> end(sent));
        }

        private void end(Sent sent) {
            mRunning--;
            if (!mWaiting.isEmpty()) {
                start(mWaiting.poll());
            }
            sent.answered(new ReportedLoad(mRunning, mWaiting.size(), SLOTS));
        }
    }

    /** Request at a server. */
    private final class Sent {

        private final Clients mClients;
        private final int mObject;
        private final long mFirstNanos;
        private final ServerLoad mLoad;
        private final long mSentNanos = mNow;

        Sent(Clients clients, int object, long firstNanos, ServerLoad load) {
            mClients = clients;
            mObject = object;
            mFirstNanos = firstNanos;
            mLoad = load;
        }

        int object() {
            return mObject;
        }

        void answered(ReportedLoad load) {
            RequestPlacer placer = mClients.mInstance.mPlacer;
            mLoad.requestEnded();
            placer.reported(mLoad, load, mNow);
            placer.succeeded(mClients.mRoute, mLoad, mNow - mSentNanos, load.waiting() > 0, mNow);
            long millis = (mNow - mFirstNanos) / 1_000_000;
            Served served = mClients.mServed;
            if (millis <= TARGET_MILLIS) {
                served.mInTime++;
            } else if (millis <= TIMEOUT_MILLIS) {
                served.mLate++;
            }
        }
    }

    /** Clients that send requests for one workspace to one instance. */
    private final class Clients {

        private final Instance mInstance;
        private final String mName;
        private final int mPriority;
        private final int mObjects;
        private final DoubleUnaryOperator mRate;
        private final Route mRoute;
        private final Served mServed;

        Clients(
                Instance instance,
                String name,
                int priority,
                int objects,
                DoubleUnaryOperator rate,
                Route route) {
            mInstance = instance;
            mName = name;
            mPriority = priority;
            mObjects = objects;
            mRate = rate;
            mRoute = route;
            mServed = CapacityDriver.this.mServed.computeIfAbsent(name, each -> new Served());
        }

        void sendNext() {
            double rate = mRate.applyAsDouble(seconds());
            double gap = rate > 0 ? -Math.log(1 - mRandom.nextDouble()) / rate : 0.1;
            at(mNow + (long) (gap * SECOND), this::sendNext);
            if (rate > 0 && mInstance.mAlive) {
                mServed.mOffered++;
                send(mRandom.nextInt(mObjects), mNow, true);
            }
        }

        private void send(int object, long firstNanos, boolean mayReturn) {
            long left = TIMEOUT_MILLIS * 1_000_000L - (mNow - firstNanos);
            Optional<WorkspaceId> workspace = Optional.of(new WorkspaceId(mName));
            mInstance.mPlacer.arrived(mRoute, SERVICE, workspace, mNow);
            PlacementRequest request =
                    new PlacementRequest(
                            mRoute, SERVICE, HashMixer.hash("object" + object), workspace, left);
            Placement placement =
                    mInstance.mPlacer.place(request, mInstance.mLoads, new AllServers(), mNow);
            if (placement instanceof Placement.Placed placed) {
                ServerLoad load = placed.choice().load();
                mInstance.mPlacer.sent(load, mNow);
                mServers.get(mInstance.mLoads.indexOf(load))
                        .accept(new Sent(this, object, firstNanos, load));
            } else if (placement instanceof Placement.Refused refused && mayReturn) {
                long pause = refused.decision().retryAfterNanos();
                at(mNow + pause, () -> send(object, firstNanos, false));
            }
        }
    }

    /** Candidates all of which are usable and warm. */
    private static final class AllServers implements Candidates {

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
}
