package io.masticpond.entry.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listening socket that accepts the connections in its queue before it is closed. The close itself
 * would reset them.
 *
 * @since 0.2
 */
final class ListeningChannel extends NioServerSocketChannel {

    private static final Logger sLogger = LoggerFactory.getLogger(ListeningChannel.class);
    private static final long RETRY_MILLIS = 1;

    /** Failures to accept, one per millisecond, after which the queue is given up. */
    private static final int MAXIMUM_FAILURES = 250;

    private ListeningChannel() {}

    private ListeningChannel(SocketProtocolFamily family) {
        super(SelectorProvider.provider(), family);
    }

    /**
     * Opens a channel for addresses of the family of the given one.
     *
     * @param address the address to listen on
     * @return the channel, which is neither registered nor bound
     */
    static ListeningChannel open(InetAddress address) {
        return address instanceof Inet4Address
                ? new ListeningChannel(SocketProtocolFamily.INET)
                : new ListeningChannel();
    }

    /**
     * Accepts the connections in the queue and closes this channel.
     *
     * @return a future that completes once the channel is closed
     */
    ChannelFuture closeAfterAccepting() {
        deregister().addListener(future -> closeOnceDeregistered());
        return closeFuture();
    }

    /**
     * Waits until the selector has released the socket. Until then, a close would leave the socket
     * open to connections that nobody accepts.
     */
    private void closeOnceDeregistered() {
        if (isOpen() && javaChannel().isRegistered()) {
            schedule(this::closeOnceDeregistered);
        } else {
            acceptQueuedAndClose(MAXIMUM_FAILURES);
        }
    }

    /** Accepts what is in the queue, and waits for a file descriptor if there is none left. */
    private void acceptQueuedAndClose(int remainingFailures) {
        try {
            acceptQueued();
        } catch (IOException failure) {
            if (remainingFailures > 0) {
                schedule(() -> acceptQueuedAndClose(remainingFailures - 1));
                return;
            }
            sLogger.warn("ENTRY  A connection in the queue can't be accepted.", failure);
        }
        close();
    }

    private void acceptQueued() throws IOException {
        while (true) {
            SocketChannel accepted = isActive() ? javaChannel().accept() : null;
            if (accepted == null) {
                return;
            }
            pipeline().fireChannelRead(new NioSocketChannel(this, accepted));
        }
    }

    private void schedule(Runnable task) {
        eventLoop().schedule(task, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
