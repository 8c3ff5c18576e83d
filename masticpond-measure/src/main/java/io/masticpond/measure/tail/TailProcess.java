package io.masticpond.measure.tail;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Simulated process of an instance. Messages to a paused process are queued, messages to a killed
 * one are lost.
 */
final class TailProcess {

    private final Queue<Runnable> mInbox = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mTerminated;

    /**
     * Runs a message immediately, or on resumption if the process is paused; discards it if the
     * process was killed.
     *
     * @param message the message
     */
    void deliver(Runnable message) {
        if (mTerminated) {
            return;
        }
        if (mPaused) {
            mInbox.add(message);
            return;
        }
        message.run();
    }

    void kill() {
        mTerminated = true;
    }

    void pause() {
        mPaused = true;
    }

    /** Resumes the process, which first handles the messages received while it was paused. */
    void resume() {
        mPaused = false;
        while (!mInbox.isEmpty()) {
            mInbox.remove().run();
        }
    }

    boolean isTerminated() {
        return mTerminated;
    }
}
