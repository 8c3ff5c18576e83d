package io.masticpond.measure.tail;

import java.util.ArrayDeque;
import java.util.Queue;

/** An instance's process, which may be paused or killed; messages to it wait or are lost. */
final class TailProcess {

    private final Queue<Runnable> mInbox = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mDead;

    /**
     * Lets the process act on a message now, on waking, or never.
     *
     * @param message the message
     */
    void deliver(Runnable message) {
        if (mDead) {
            return;
        }
        if (mPaused) {
            mInbox.add(message);
            return;
        }
        message.run();
    }

    void kill() {
        mDead = true;
    }

    void pause() {
        mPaused = true;
    }

    /** Wakes the process, which first takes the messages that came meanwhile. */
    void wake() {
        mPaused = false;
        while (!mInbox.isEmpty()) {
            mInbox.remove().run();
        }
    }

    boolean isTerminated() {
        return mDead;
    }
}
