package io.masticpond.entry.backend;

import io.masticpond.core.fleet.ServerAddress;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Factory that opens connections to backend servers by their IP addresses. */
final class ConnectionOpener {

    private static final int ANY_PORT = 0;

    private final EventLoop mEventLoop;
    private final ConnectionOptions mOptions;
    private final Optional<InetSocketAddress> mLocalAddress;

    ConnectionOpener(EventLoop eventLoop, ConnectionOptions options) {
        mEventLoop = eventLoop;
        mOptions = options;
        mLocalAddress = options.localAddress().map(ip -> socketAddress(ip, ANY_PORT));
    }

    /**
     * Starts to open a connection, which is notified of the result later, never before this method
     * returns.
     */
    BackendConnection open(ServerPool pool) {
        NioSocketChannel channel = new NioSocketChannel();
        configure(channel.config());
        BackendConnection connection = new BackendConnection(pool, channel);
        channel.config()
                .setRecvByteBufAllocator(new HeadFirstReceiveAllocator(connection::isReadingBody));
        channel.pipeline().addLast(new AnswerDecoder(connection), connection);
        mEventLoop.register(channel);
        mEventLoop.execute(() -> connect(channel, connection, pool.socketAddress()));
        return connection;
    }

    private void connect(Channel channel, BackendConnection connection, InetSocketAddress address) {
        mLocalAddress
                .map(local -> channel.connect(address, local))
                .orElseGet(() -> channel.connect(address))
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                connection.opened();
                            } else {
                                connection.openFailed(future.cause());
                            }
                        });
    }

    /**
     * Configures the socket so that an orderly end can be distinguished from any other, and so that
     * reading continues after a write has failed.
     */
    private void configure(SocketChannelConfig config) {
        config.setTcpNoDelay(true);
        config.setKeepAlive(false);
        config.setAllowHalfClosure(true);
        config.setAutoClose(false);
        config.setConnectTimeoutMillis(
                (int) TimeUnit.NANOSECONDS.toMillis(mOptions.connectTimeoutNanos()));
    }

    static InetSocketAddress socketAddress(ServerAddress address) {
        return socketAddress(address.ip(), address.port());
    }

    /** Converts the address without a DNS lookup. */
    private static InetSocketAddress socketAddress(String ip, int port) {
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ip);
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException exception) {
            throw new IllegalArgumentException(
                    "An address must be an IP address, but was " + ip + ".", exception);
        }
    }
}
