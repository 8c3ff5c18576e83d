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
    private long mIncompleteAnswers;
    private long mOversizedAnswers;
    private long mReceivedBytes;

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

    /**
     * Returns the number of answers since the start that ended before they were complete.
     *
     * @return the number
     */
    public long incompleteAnswers() {
        return mIncompleteAnswers;
    }

    /**
     * Returns the number of times since the start that a server sent more bytes than any answer may
     * have.
     *
     * @return the number
     */
    public long oversizedAnswers() {
        return mOversizedAnswers;
    }

    /**
     * Returns the number of bytes received from servers since the start.
     *
     * @return the number
     */
    public long receivedBytes() {
        return mReceivedBytes;
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

    void answerIncomplete() {
        mIncompleteAnswers++;
    }

    void received(int bytes) {
        mReceivedBytes += bytes;
    }

    void answerOversized() {
        mOversizedAnswers++;
    }
}
