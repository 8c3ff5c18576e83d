package io.masticpond.platform.day;

import io.masticpond.core.fleet.ServerAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * TCP proxy before the store whose open connections can go silent for good, without a reset or an
 * end, while new ones work. It can also play a store that loses power and starts again: it sends
 * nothing on connections from before, and resets one as soon as bytes arrive on it.
 */
final class SilentLink {

    private static final int BACKLOG = 100;
    private static final int BUFFER_BYTES = 65_536;

    /** A connection of an instance, and its continuation to the store. */
    private static final class Link {
        private volatile boolean mIsSilent;
        private volatile boolean mIsForgotten;
        private volatile String mLastRequest = "";
        private volatile long mLastBytesNanos = System.nanoTime();
    }

    private final ServerAddress mStore;
    private final ServerSocket mListener;
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private volatile boolean mIsDown;

    SilentLink(ServerAddress store) throws IOException {
        mStore = store;
        mListener = new ServerSocket(0, BACKLOG, InetAddress.getByName(store.ip()));
        DayThreads.daemon(this::accept).start();
    }

    ServerAddress address() {
        return new ServerAddress(mStore.ip(), mListener.getLocalPort());
    }

    int open() {
        return mLinks.size();
    }

    /**
     * Makes the open connections silent that have carried nothing for some time.
     *
     * @param idleNanos time without bytes, in nanoseconds; 0 for all open connections
     * @return number of connections that are silent now
     */
    int silence(long idleNanos) {
        long now = System.nanoTime();
        int count = 0;
        for (Link link : mLinks) {
            if (now - link.mLastBytesNanos >= idleNanos) {
                link.mIsSilent = true;
                count++;
            }
        }
        return count;
    }

    /**
     * Makes the open connections silent on which a request waits for its answer.
     *
     * @param requestLine beginning of the request line
     * @return number of connections that are silent now
     */
    int silence(String requestLine) {
        int count = 0;
        for (Link link : mLinks) {
            if (link.mLastRequest.startsWith(requestLine)) {
                link.mIsSilent = true;
                count++;
            }
        }
        return count;
    }

    /**
     * Plays a loss of power of the store. All connections that are open at its end, those opened
     * meanwhile included, are forgotten.
     *
     * @param downMillis duration in milliseconds
     * @return number of connections that were forgotten
     */
    int restart(long downMillis) throws InterruptedException {
        mIsDown = true;
        silence(0);
        TimeUnit.MILLISECONDS.sleep(downMillis);
        int count = silence(0);
        mLinks.forEach(link -> link.mIsForgotten = true);
        mIsDown = false;
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket instanceSocket = mListener.accept();
                Socket storeSocket = new Socket(mStore.ip(), mStore.port());
                instanceSocket.setTcpNoDelay(true);
                storeSocket.setTcpNoDelay(true);
                Link link = new Link();
                link.mIsSilent = mIsDown;
                mLinks.add(link);
                DayThreads.daemon(() -> relay(link, instanceSocket, storeSocket)).start();
                DayThreads.daemon(() -> relay(link, storeSocket, instanceSocket)).start();
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void relay(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                link.mLastRequest =
                        from.getPort() == mStore.port()
                                ? ""
                                : new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                if (link.mIsForgotten && from.getPort() != mStore.port()) {
                    SoakLink.reset(from);
                } else if (!link.mIsSilent) {
                    link.mLastBytesNanos = System.nanoTime();
                    to.getOutputStream().write(buffer, 0, length);
                }
            }
        } catch (IOException exception) {
            // The connection ends below.
        }
        mLinks.remove(link);
        close(from);
        // A silent connection passes on no end either.
        if (!link.mIsSilent) {
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            System.err.println("A connection could not be closed: " + exception);
        }
    }
}
