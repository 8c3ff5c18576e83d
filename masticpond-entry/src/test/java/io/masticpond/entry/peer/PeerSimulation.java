package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Simulation of instances that exchange datagrams through a queue, on one manually advanced clock.
 */
final class PeerSimulation {

    static final long CLOCK = 1_700_000_000_000L;
    private static final long MILLI = 1_000_000;
    private static final long DELAY = 20 * MILLI;
    private static final HeartbeatSettings SETTINGS = HeartbeatSettings.DEFAULT;

    private record Event(long at, long order, Runnable work) {}

    /** One run of an instance. */
    final class Run {
        final PeerInstance mInstance;
        final OwnStatus mStatus;
        final PeerExchange mExchange;
        final List<String> mNotifications = new ArrayList<>();
        boolean mRunning = true;
        boolean mFlushScheduled;
        long mBytes;
        long mLargest;

        Run(PeerInstance instance, List<ServerAddress> seeds) {
            mInstance = instance;
            mStatus = new OwnStatus(instance.id(), PeerPlace.of(instance), instance.incarnation());
            mExchange = new PeerExchange(mStatus, SETTINGS, seeds, this::send, listener(), mNow);
            mStatus.changeState(PeerUpdate.State.READY);
        }

        PeerSnapshot view() {
            mExchange.evaluate(mNow);
            return mExchange.snapshot(mNow);
        }

        List<String> names() {
            return view().alive().stream().map(i -> i.id().value()).toList();
        }

        void leave() {
            mStatus.changeState(PeerUpdate.State.LEAVING);
            mExchange.announce(mNow);
        }

        private void tick() {
            if (mRunning) {
                mExchange.tick(mNow);
                schedule(SETTINGS.period().toNanos(), this::tick);
                scheduleFollowUps();
            }
        }

        private void scheduleFollowUps() {
            if (mExchange.hasPendingUpdates() && !mFlushScheduled) {
                mFlushScheduled = true;
                schedule(100 * MILLI, this::flush);
            }
            if (mExchange.takeChanged()) {
                long next = mExchange.untilNextVerdict(mNow);
                if (next < SETTINGS.period().toNanos()) {
                    schedule(next, this::evaluate);
                }
            }
        }

        private void flush() {
            mFlushScheduled = false;
            mExchange.flush(mNow);
        }

        private void evaluate() {
            if (mRunning) {
                mExchange.evaluate(mNow);
                scheduleFollowUps();
            }
        }

        private void send(ServerAddress to, PeerMessage message) {
            ByteBuf bytes = Unpooled.buffer();
            PeerMessageCodec.write(message, bytes);
            mBytes += bytes.readableBytes();
            mLargest = Math.max(mLargest, bytes.readableBytes());
            String target = mIds.getOrDefault(to, "nobody");
            boolean lost = mRandom.nextDouble() < mLoss || !mRunning;
            if (!lost && mPath.test(mInstance.id().value(), target)) {
                schedule(DELAY, () -> deliver(target, bytes));
            }
        }

        private void deliver(String target, ByteBuf bytes) {
            Run run = mRuns.get(target);
            if (run != null && run.mRunning) {
                PeerMessage message = PeerMessageCodec.read(bytes).orElseThrow();
                run.mExchange.receive(message, mInstance.internal(), mNow);
                run.scheduleFollowUps();
            }
        }

        private PeerListener listener() {
            return new PeerListener() {
                @Override
                public void onPeerReachable(PeerInstance instance) {
                    mNotifications.add("+" + instance.id());
                }

                @Override
                public void onPeerUnreachable(InstanceId id, boolean planned) {
                    mNotifications.add((planned ? "left " : "-") + id);
                }
            };
        }
    }

    final Map<String, Run> mRuns = new TreeMap<>();
    BiPredicate<String, String> mPath = (from, to) -> true;
    double mLoss;
    private final Random mRandom = new Random(7);
    private final Map<ServerAddress, String> mIds = new HashMap<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long mNow = 1;
    private long mOrder;

    /** Returns the address of the n-th instance. */
    static ServerAddress address(int number) {
        return new ServerAddress("10.1." + number / 200 + "." + (number % 200 + 1), 7100);
    }

    static PeerInstance instance(String name, int number, long incarnation) {
        ServerAddress internal = address(number);
        return new PeerInstance(
                new InstanceId(name),
                incarnation,
                new ZoneId("casa-" + number % 3),
                new RegionId("casa"),
                new ServerAddress(internal.ip(), 8000),
                internal,
                false,
                0);
    }

    /**
     * Starts an instance whose seeds are the first three addresses, at a random moment of a period.
     */
    Run start(String name, int number, long incarnation) {
        List<ServerAddress> seeds = List.of(address(0), address(1), address(2));
        Run run = new Run(instance(name, number, incarnation), seeds);
        mRuns.put(name, run);
        mIds.put(run.mInstance.internal(), name);
        schedule(mRandom.nextInt(300) * MILLI, run::tick);
        return run;
    }

    PeerSimulation startAll(int count) {
        for (int number = 0; number < count; number++) {
            start(name(number), number, CLOCK);
        }
        return this;
    }

    static String name(int number) {
        return String.format("edge-casa-%03d", number);
    }

    Run run(int number) {
        return mRuns.get(name(number));
    }

    void kill(int number) {
        run(number).mRunning = false;
    }

    void advance(Duration duration) {
        long end = mNow + duration.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            event.work().run();
        }
        mNow = end;
    }

    private void schedule(long delay, Runnable work) {
        mEvents.add(new Event(mNow + delay, mOrder++, work));
    }
}
