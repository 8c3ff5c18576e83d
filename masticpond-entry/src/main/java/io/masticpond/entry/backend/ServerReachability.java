package io.masticpond.entry.backend;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * Result of an attempt to open a connection to a backend server.
 *
 * @since 0.2
 */
public enum ServerReachability {
    /** The server accepts connections. */
    OPEN,
    /**
     * The server's host refuses the connection because no process listens on the port: the server
     * has terminated.
     */
    REFUSED,
    /** The attempt timed out or failed for another reason; the server may be running or not. */
    UNKNOWN;

    /** Determines the result from the exception of a failed attempt. */
    static ServerReachability of(Throwable cause) {
        boolean isTimeout = cause instanceof ConnectTimeoutException;
        return cause instanceof ConnectException && !isTimeout ? REFUSED : UNKNOWN;
    }
}
