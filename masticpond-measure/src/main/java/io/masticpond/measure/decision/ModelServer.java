package io.masticpond.measure.decision;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.placement.ReportedLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulated backend server with slots, a queue, a cache of the objects used last, and answers that
 * report its load. An object is cached as soon as work on it begins.
 */
final class ModelServer {

    /**
     * Answer to a request.
     *
     * @param executed whether the request was executed; {@code false} if the server rejected it or
     *     its deadline passed in the queue
     * @param load the load of the server at the time of the answer
     */
    record Answer(boolean executed, ReportedLoad load) {}

    private record Work(
            String object, double workMillis, long deadlineNanos, Consumer<Answer> answerHandler) {}

    private final VirtualTimeScheduler mClock;
    private final UniformRandomProvider mRandom;
    private final RegisteredServer mServer;
    private final int mQueueCapacity;
    private final DecisionScenario mScenario;
    private final Map<String, Boolean> mCachedObjects;
    private final Deque<Work> mQueue = new ArrayDeque<>();
    private int mRunning;
    private double mShedShare;
    private double mSlowdown = 1;
    private boolean mTerminated;

    ModelServer(
            VirtualTimeScheduler clock,
            UniformRandomProvider random,
            RegisteredServer server,
            ServerGroup group,
            DecisionScenario scenario) {
        mClock = clock;
        mRandom = random;
        mServer = server;
        mQueueCapacity = group.queueCapacity();
        mScenario = scenario;
        int cacheCapacity = group.cacheCapacity();
        mCachedObjects =
                new LinkedHashMap<>(2 * cacheCapacity, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > cacheCapacity;
                    }
                };
    }

    RegisteredServer server() {
        return mServer;
    }

    /** Rejects a share of all requests, independent of the load, until set to 0. */
    void shed(double share) {
        mShedShare = share;
    }

    /** Multiplies the duration of all work that begins from now on by a factor. */
    void slowDown(double factor) {
        mSlowdown = factor;
    }

    /** Stops all answers for good. */
    void terminate() {
        mTerminated = true;
    }

    boolean isTerminated() {
        return mTerminated;
    }

    void submit(
            String object, double workMillis, long deadlineNanos, Consumer<Answer> answerHandler) {
        if (mTerminated) {
            return;
        }
        boolean full = mRunning >= mServer.slots() && mQueue.size() >= mQueueCapacity;
        if (full || mRandom.nextDouble() < mShedShare) {
            answerHandler.accept(new Answer(false, load()));
            return;
        }
        mQueue.addLast(new Work(object, workMillis, deadlineNanos, answerHandler));
        runNext();
    }

    private void runNext() {
        while (mRunning < mServer.slots() && !mQueue.isEmpty()) {
            Work work = mQueue.removeFirst();
            if (work.deadlineNanos() <= mClock.nowNanos()) {
                work.answerHandler().accept(new Answer(false, load()));
                continue;
            }
            mRunning++;
            boolean cached = mCachedObjects.put(work.object(), true) != null;
            double variation = 1 + mScenario.workSpread() * (2 * mRandom.nextDouble() - 1);
            double millis =
                    work.workMillis()
                            * (cached ? mScenario.cachedWorkShare() : 1)
                            * variation
                            * mSlowdown;
            long nanos = (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
            mClock.after(nanos, () -> finish(work));
        }
    }

    private void finish(Work work) {
        mRunning--;
        runNext();
        if (!mTerminated) {
            work.answerHandler().accept(new Answer(true, load()));
        }
    }

    ReportedLoad load() {
        return new ReportedLoad(mRunning, mQueue.size(), mServer.slots());
    }
}
