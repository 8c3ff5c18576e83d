package io.masticpond.entry.backend;

/**
 * Counters of the connections to backend servers. For use on the traffic thread only.
 *
 * @since 0.2
 */
public final class ConnectionCounts {

    private long mOpened;
    private long mOpen;
    private long mIdle;

    /**
     * Returns the number of connection attempts since the start, including failed ones.
     *
     * @return the number
     */
    public long opened() {
        return mOpened;
    }

    /**
     * Returns the number of connections that are open or being opened.
     *
     * @return the number
     */
    public long open() {
        return mOpen;
    }

    /**
     * Returns the number of open connections that are idle.
     *
     * @return the number
     */
    public long idle() {
        return mIdle;
    }

    void begun() {
        mOpened++;
        mOpen++;
    }

    void closed() {
        mOpen--;
    }

    void idleChanged(int difference) {
        mIdle += difference;
    }
}
