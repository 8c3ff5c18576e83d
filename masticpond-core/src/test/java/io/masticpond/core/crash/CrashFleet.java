package io.masticpond.core.crash;

import io.masticpond.core.support.HashMixer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Test fixture: instances on one simulated clock, with messages that are delayed and may be lost.
 */
final class CrashFleet {

    private static final int AGGREGATORS = 3;

    /**
     * Event at a time; events at the same time happen in the order in which they were scheduled.
     */
    private record Event(long atNanos, long order, Runnable action) {}

    /** Simulated instance. */
    final class Instance implements CrashOutput {

        private final int mNumber;
        CrashingRequests mRequests;
        final List<CrashView> mViews = new ArrayList<>();
        long mMessages;
        boolean mIsDisconnected;

        private Instance(int number) {
            mNumber = number;
            restart();
        }

        /** Restarts the instance without any state. */
        void restart() {
            mRequests = new CrashingRequests(mSettings, this);
        }

        String name() {
            return "instance-" + mNumber;
        }

        boolean rejects(RequestFingerprint request) {
            return mRequests.rejectedForNanos(request, nowNanos()) > 0;
        }

        @Override
        public void sendToAggregators(CrashMessage message) {
            mInstances.stream()
                    .sorted(Comparator.comparingLong(each -> each.weight(message.request())))
                    .limit(AGGREGATORS)
                    .forEach(each -> send(each, message));
        }

        private long weight(RequestFingerprint request) {
            return HashMixer.hash(request + name());
        }

        @Override
        public void sendToAll(CrashMessage message) {
            mInstances.forEach(each -> send(each, message));
        }

        @Override
        public void verify(CrashMessage.ServerEnd end) {
            long receivedNanos = nowNanos();
            if (mRunningServers.contains(end.serverHash())) {
                after(
                        Duration.ofMillis(1 + mRandom.nextInt(40)).toNanos(),
                        () -> mRequests.refute(end, receivedNanos, nowNanos()));
            }
        }

        @Override
        public void viewChanged(CrashView view) {
            mViews.add(view);
        }

        private void send(Instance to, CrashMessage message) {
            if (to == this || mIsDisconnected || to.mIsDisconnected || mIsLost.test(message)) {
                return;
            }
            mMessages++;
            long delayNanos = Duration.ofMillis(1 + mRandom.nextInt(40)).toNanos();
            after(delayNanos, () -> to.mRequests.receive(name(), message, nowNanos()));
        }
    }

    private final CrashSettings mSettings;
    private final Random mRandom;
    private final List<Instance> mInstances = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private Predicate<CrashMessage> mIsLost = message -> false;

    /** Hashes of servers that run although an instance observes that they end. */
    final Set<Long> mRunningServers = new HashSet<>();

    private long mNowNanos;
    private long mOrder;

    CrashFleet(int instances, CrashSettings settings, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
        for (int number = 0; number < instances; number++) {
            mInstances.add(new Instance(number));
        }
        after(Duration.ofSeconds(1).toNanos(), this::sendRejections);
    }

    /** Sends the rejections of each instance to one other instance, once a second. */
    private void sendRejections() {
        for (Instance each : mInstances) {
            Instance to = mInstances.get(mRandom.nextInt(mInstances.size()));
            each.mRequests.rejections(nowNanos()).forEach(message -> each.send(to, message));
        }
        after(Duration.ofSeconds(1).toNanos(), this::sendRejections);
    }

    /** Sets the fraction of all messages that is lost. */
    void setLossRate(double share) {
        mIsLost = message -> mRandom.nextDouble() < share;
    }

    Random random() {
        return mRandom;
    }

    long nowNanos() {
        return mNowNanos;
    }

    List<Instance> instances() {
        return mInstances;
    }

    Instance randomInstance() {
        return mInstances.get(mRandom.nextInt(mInstances.size()));
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + nanos, mOrder++, action));
    }

    void advance(Duration time) {
        long endNanos = mNowNanos + time.toNanos();
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }

    long messages() {
        return mInstances.stream().mapToLong(each -> each.mMessages).sum();
    }
}
