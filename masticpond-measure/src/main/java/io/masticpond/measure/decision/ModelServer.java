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
 * A backend server: slots, a queue, the objects that it had last, and an answer that tells its
 * load. An object is known as soon as work on it begins.
 */
final class ModelServer {

    /** How a request ended. */
    record Answer(boolean executed, ReportedLoad load) {}

    private record Work(String object, double workMillis, long untilNanos, Consumer<Answer> end) {}

    private final VirtualTimeScheduler mClock;
    private final UniformRandomProvider mRandom;
    private final RegisteredServer mServer;
    private final int mQueue;
    private final DecisionScenario mWorld;
    private final Map<String, Boolean> mKnown;
    private final Deque<Work> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private double mShedShare;
    private double mSlowness = 1;
    private boolean mDead;

    ModelServer(
            VirtualTimeScheduler clock,
            UniformRandomProvider random,
            RegisteredServer server,
            ServerGroup shape,
            DecisionScenario world) {
        mClock = clock;
        mRandom = random;
        mServer = server;
        mQueue = shape.queue();
        mWorld = world;
        int keeps = shape.keeps();
        mKnown =
                new LinkedHashMap<>(2 * keeps, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                        return size() > keeps;
                    }
                };
    }

    RegisteredServer server() {
        return mServer;
    }

    /** Turns away a part of all requests, whatever its load. */
    void shed(double share) {
        mShedShare = share;
    }

    /** Works this many times as long. */
    void slow(double times) {
        mSlowness = times;
    }

    /** Answers nothing any more. */
    void terminate() {
        mDead = true;
    }

    boolean isTerminated() {
        return mDead;
    }

    void take(String object, double workMillis, long untilNanos, Consumer<Answer> end) {
        if (mDead) {
            return;
        }
        boolean full = mRunning >= mServer.slots() && mWaiting.size() >= mQueue;
        if (full || mRandom.nextDouble() < mShedShare) {
            end.accept(new Answer(false, load()));
            return;
        }
        mWaiting.addLast(new Work(object, workMillis, untilNanos, end));
        runNext();
    }

    private void runNext() {
        while (mRunning < mServer.slots() && !mWaiting.isEmpty()) {
            Work work = mWaiting.removeFirst();
            if (work.untilNanos() <= mClock.nowNanos()) {
                work.end().accept(new Answer(false, load()));
                continue;
            }
            mRunning++;
            boolean known = mKnown.put(work.object(), true) != null;
            double spread = 1 + mWorld.spread() * (2 * mRandom.nextDouble() - 1);
            double millis =
                    work.workMillis() * (known ? mWorld.knownPart() : 1) * spread * mSlowness;
            long nanos = (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
            mClock.after(nanos, () -> finish(work));
        }
    }

    private void finish(Work work) {
        mRunning--;
        runNext();
        if (!mDead) {
            work.end().accept(new Answer(true, load()));
        }
    }

    ReportedLoad load() {
        return new ReportedLoad(mRunning, mWaiting.size(), mServer.slots());
    }
}
