package io.masticpond.entry.backend;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * What an attempt to open a connection tells of a backend server.
 *
 * @since 0.2
 */
public enum ServerReachability {
    /** It takes connections. */
    OPEN,
    /** Its machine answers that nobody listens there: the server has ended. */
    REFUSED,
    /** Nothing was heard, or the attempt failed on the way; the server may live or not. */
    UNKNOWN;

    /** Reads why a connection could not be opened. */
    static ServerReachability of(Throwable cause) {
        boolean isTimeout = cause instanceof ConnectTimeoutException;
        return cause instanceof ConnectException && !isTimeout ? REFUSED : UNKNOWN;
    }
}
