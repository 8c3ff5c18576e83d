package io.masticpond.core.membership;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Tables that exchange messages in memory, in order and without delay, except where a test
 * simulates a network partition.
 */
final class MembershipFixture {

    static final Duration TICK = Duration.ofMillis(100);

    private static final int TICKS_IN_HEARTBEAT = 10;

    final ManualTimeSource mTime = new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    final Map<InstanceId, MembershipTable> mTables = new TreeMap<>();
    final Set<InstanceId> mPaused = new HashSet<>();
    final List<Member> mChanged = new ArrayList<>();
    private final Map<InstanceId, OwnState> mStates = new TreeMap<>();
    private final Queue<Runnable> mWire = new ArrayDeque<>();
    private BiPredicate<InstanceId, InstanceId> mPartition = (from, to) -> false;
    private long mTicks;
    long mMessages;

    static InstanceId id(String zone, int number) {
        return new InstanceId(zone + "-" + number);
    }

    static Optional<RegionId> region(ZoneId zone) {
        return Optional.of(new RegionId(zone.value().substring(0, zone.value().length() - 1)));
    }

    MembershipFixture zone(String zone, int instances) {
        for (int i = 0; i < instances; i++) {
            start(id(zone, i), zone, 1);
        }
        return this;
    }

    MembershipTable start(InstanceId id, String zone, long run) {
        OwnState own =
                new OwnState(
                        new Incarnation(id, run),
                        new ZoneId(zone),
                        "10.0.0.1:" + (1_000 + mStates.size()),
                        "10.0.0.1:8000",
                        "10.0.0.1:9000");
        MembershipTable table =
                new MembershipTable(own, MembershipTimings.DEFAULT, mTime, new Wire(id));
        table.setRegions(MembershipFixture::region);
        mStates.put(id, own);
        mTables.put(id, table);
        return table;
    }

    /** Updates every table with the list of all instances that were ever started. */
    MembershipFixture list() {
        List<ListedMember> listed = new ArrayList<>();
        mStates.forEach(
                (id, own) ->
                        listed.add(new ListedMember(id, own.zone(), own.linkAddress(), false)));
        mTables.values().forEach(table -> table.updateListedMembers(listed));
        return this;
    }

    void partition(BiPredicate<InstanceId, InstanceId> partition) {
        mPartition = partition;
    }

    /** Terminates a process: connections to it are refused from now on. */
    void kill(InstanceId id) {
        mTables.remove(id);
        Incarnation run = mStates.get(id).incarnation();
        mTables.values().forEach(table -> table.onDisconnected(run));
        deliver();
    }

    MembershipView view(InstanceId id) {
        return mTables.get(id).view();
    }

    MemberState state(InstanceId observer, InstanceId subject) {
        return view(observer).member(subject).orElseThrow().state();
    }

    void run(Duration duration) {
        for (long i = 0; i < duration.dividedBy(TICK); i++) {
            mTime.advance(TICK);
            mTicks++;
            int phase = 0;
            for (Map.Entry<InstanceId, MembershipTable> entry : mTables.entrySet()) {
                phase++;
                if (mPaused.contains(entry.getKey())) {
                    continue;
                }
                entry.getValue().advance();
                if ((mTicks + phase) % TICKS_IN_HEARTBEAT == 0) {
                    entry.getValue().sendHeartbeats();
                }
            }
            deliver();
        }
    }

    /** Runs until a condition holds, and returns the time that it took. */
    Duration runUntil(Duration timeout, java.util.function.BooleanSupplier condition) {
        Duration passed = Duration.ZERO;
        while (!condition.getAsBoolean()) {
            if (passed.compareTo(timeout) >= 0) {
                throw new AssertionError(
                        "The condition did not become true within " + timeout + ".");
            }
            run(TICK);
            passed = passed.plus(TICK);
        }
        return passed;
    }

    private void deliver() {
        for (Runnable next = mWire.poll(); next != null; next = mWire.poll()) {
            next.run();
        }
    }

    /** Delivers the messages of one table. */
    private final class Wire implements MembershipSink {

        private final InstanceId mFrom;

        Wire(InstanceId from) {
            mFrom = from;
        }

        @Override
        public void send(InstanceId to, MemberUpdate own, List<MemberUpdate> others) {
            long digest = mTables.get(mFrom).digest();
            deliverTo(to, table -> table.receiveHeartbeat(own, others, false, digest));
        }

        @Override
        public void sendAll(InstanceId to, MemberUpdate own, List<MemberUpdate> others) {
            long digest = mTables.get(mFrom).digest();
            deliverTo(to, table -> table.receiveHeartbeat(own, others, true, digest));
        }

        @Override
        public void requestUpdate(InstanceId to, Incarnation run, long sequence) {
            deliverTo(to, table -> table.receiveUpdateRequest(mFrom, run, sequence));
        }

        @Override
        public void memberChanged(Member member) {
            mChanged.add(member);
        }

        private void deliverTo(
                InstanceId to, java.util.function.Consumer<MembershipTable> message) {
            mWire.add(
                    () -> {
                        mMessages++;
                        MembershipTable sender = mTables.get(mFrom);
                        MembershipTable receiver = mTables.get(to);
                        boolean isPartitioned = mPartition.test(mFrom, to);
                        if (receiver == null && sender != null && !isPartitioned) {
                            sender.onConnectionRefused(to);
                        } else if (receiver != null && !isPartitioned && !mPaused.contains(to)) {
                            message.accept(receiver);
                        }
                    });
        }
    }
}
