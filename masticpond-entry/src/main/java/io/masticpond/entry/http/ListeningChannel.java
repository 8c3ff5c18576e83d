package io.masticpond.entry.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.List;
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
    private static final long CHECK_MILLIS = 1;

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
            eventLoop().schedule(this::closeOnceDeregistered, CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        acceptQueued();
        close();
    }

    private void acceptQueued() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (isActive() && doReadMessages(accepted) > 0) {
                pipeline().fireChannelRead(accepted.remove(0));
            }
        } catch (IOException failure) {
            sLogger.warn("ENTRY  A connection in the queue could not be accepted.", failure);
        } catch (Exception failure) {
            throw new IllegalStateException("The queue of connections can't be read.", failure);
        }
    }
}
