package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.support.Assert;

/**
 * Registration of one run of a backend server, with the time for which it is cold by other
 * observations than the registry.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ServerRegistration {

    private RegisteredServer mRegistered;

    /** The registered server, or one that is cold for longer while it may have restarted. */
    private RegisteredServer mServer;

    private boolean mMayHaveRestarted;
    private long mAssumedColdUntilNanos;

    ServerRegistration(RegisteredServer server) {
        mRegistered = Assert.notNull(server, "A backend server");
        mServer = mRegistered;
    }

    RegisteredServer server() {
        return mServer;
    }

    /** Applies an update of the registry. */
    void update(RegisteredServer server) {
        long coldUntilNanos = mRegistered.coldUntilNanos();
        mRegistered = server;
        if (!server.leaving()) {
            coldUntil(coldUntilNanos);
        }
        applyAssumption();
    }

    /**
     * Treats the server as cold at least until a time, regardless of the registry.
     *
     * @param untilNanos the end on the monotonic clock
     */
    void coldUntil(long untilNanos) {
        if (mRegistered.coldUntilNanos() - untilNanos < 0) {
            mRegistered = mRegistered.withColdUntil(untilNanos);
            applyAssumption();
        }
    }

    private void applyAssumption() {
        boolean isAssumedCold =
                mMayHaveRestarted && mRegistered.coldUntilNanos() - mAssumedColdUntilNanos < 0;
        mServer = isAssumedCold ? mRegistered.withColdUntil(mAssumedColdUntilNanos) : mRegistered;
    }

    /**
     * Treats the server as cold, since it terminated and a later run with the same id and address
     * may not be registered yet. Lasts until a time or until the server itself states whether it is
     * cold.
     *
     * @param coldUntilNanos the end on the monotonic clock
     */
    public void assumeRestart(long coldUntilNanos) {
        mMayHaveRestarted = true;
        mAssumedColdUntilNanos = coldUntilNanos;
        applyAssumption();
    }

    /**
     * Determines whether the server terminated and has not stated since whether it is cold.
     *
     * @return whether it may have restarted
     */
    public boolean mayHaveRestarted() {
        return mMayHaveRestarted;
    }

    /**
     * Records that the server itself stated until when it is cold, which ends the assumption that
     * it has restarted.
     *
     * @param untilNanos the end on the monotonic clock, in the past or present if it is warm
     */
    public void statedColdUntil(long untilNanos) {
        mMayHaveRestarted = false;
        coldUntil(untilNanos);
        applyAssumption();
    }
}
