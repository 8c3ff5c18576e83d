package io.masticpond.daemon.instance;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Factory for the sockets of the links, which all run on one event loop, and for their channel
 * pipelines.
 */
final class LinkChannels {

    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK_BYTES =
            new WriteBufferWaterMark(64 << 10, 256 << 10);
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("instance-links", true), NioIoHandler.newFactory());
    private final EventLoop mEventLoop = mGroup.next();
    private final Duration mHandshakeTimeout;
    private volatile Channel mServer;

    LinkChannels(Duration handshakeTimeout) {
        mHandshakeTimeout = handshakeTimeout;
    }

    /** Returns the single event loop, which owns all state of the links. */
    EventLoop loop() {
        return mEventLoop;
    }

    /**
     * Listens on an address and requests a connection handler for each accepted socket. A socket
     * for which the supplier returns empty is closed.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    InetSocketAddress listen(
            InetSocketAddress address, Supplier<Optional<Connection>> connections) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                WRITE_BUFFER_WATER_MARK_BYTES)
                        .childHandler(new PipelineInitializer(connections))
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException(
                    "The link address " + address + " cannot be bound.", bound.cause());
        }
        mServer = bound.channel();
        return (InetSocketAddress) mServer.localAddress();
    }

    /** Connects to an address with the given connection handler. */
    ChannelFuture dial(InetSocketAddress address, Connection connection) {
        return new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK_BYTES)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(mHandshakeTimeout.toMillis()))
                .handler(new PipelineInitializer(() -> Optional.of(connection)))
                .connect(address);
    }

    /** Stops listening; waits for at most 5 seconds. */
    void stopListening() {
        if (mServer != null) {
            mServer.close().awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Stops the event loop after the tasks submitted before; waits for at most 5 seconds. */
    void close() {
        mGroup.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Initializer that adds the codecs and the connection handler to the pipeline of a new socket.
     */
    private final class PipelineInitializer extends ChannelInitializer<Channel> {

        private final Supplier<Optional<Connection>> mConnections;

        PipelineInitializer(Supplier<Optional<Connection>> connections) {
            mConnections = connections;
        }

        @Override
        protected void initChannel(Channel channel) {
            Optional<Connection> supplied = mConnections.get();
            if (supplied.isEmpty()) {
                Future<?> unused = channel.close();
                return;
            }
            Connection connection = supplied.get();
            channel.pipeline()
                    .addLast(
                            new EnvelopeDecoder(
                                    Connection.HANDSHAKE_FRAME_BYTES, connection::bytesRead),
                            new EnvelopeEncoder(),
                            connection);
            Future<?> unused =
                    mEventLoop.schedule(
                            connection::handshakeTimedOut,
                            mHandshakeTimeout.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }
}
