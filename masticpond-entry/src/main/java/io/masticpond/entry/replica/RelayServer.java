package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TCP server that gives peers the documents known to this instance.
 *
 * <p>Each connection carries one request and one answer; the answer may be held back until there is
 * a change. Confined to the control thread.
 *
 * @since 0.2
 */
public final class RelayServer {

    private static final Logger sLogger = LoggerFactory.getLogger(RelayServer.class);

    private static final int MAXIMUM_REQUEST_BYTES = 4_096;
    private static final int MAXIMUM_CONNECTIONS = 256;
    private static final Duration CONNECTION_LIFE = Duration.ofSeconds(5);

    private final EventLoop mLoop;
    private final RelaySource mSource;
    private Channel mChannel;
    private int mConnections;

    /**
     * Creates a server.
     *
     * @param loop the control thread
     * @param replica the replica that is served to peers
     */
    public RelayServer(EventLoop loop, FleetReplica replica) {
        this(loop, replica.relaySource());
    }

    RelayServer(EventLoop loop, RelaySource source) {
        mLoop = Assert.notNull(loop, "An event loop");
        mSource = source;
    }

    /**
     * Starts listening.
     *
     * @param address the address and port
     * @param result receives the bound address or the reason for the failure, on the control thread
     */
    public void start(
            InetSocketAddress address, Consumer<Either<String, InetSocketAddress>> result) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoop, mLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                });
        ChannelFuture bound = bootstrap.bind(address);
        mChannel = bound.channel();
        bound.addListener(
                done ->
                        result.accept(
                                done.isSuccess()
                                        ? Either.right((InetSocketAddress) mChannel.localAddress())
                                        : Either.left(String.valueOf(done.cause()))));
    }

    /** Stops listening. */
    public void stop() {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    private void accept(Channel channel) {
        if (mConnections >= MAXIMUM_CONNECTIONS) {
            channel.close();
            return;
        }
        mConnections++;
        Future<?> timeoutTask =
                mLoop.schedule(
                        () -> channel.close(), CONNECTION_LIFE.toMillis(), TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            mConnections--;
                            timeoutTask.cancel(false);
                        });
        channel.pipeline()
                .addLast(RelayFrames.decoder(MAXIMUM_REQUEST_BYTES), new RelayRequestHandler());
    }

    /** Channel handler that answers the single request of a connection. */
    private final class RelayRequestHandler extends SimpleChannelInboundHandler<ByteBuf> {

        private boolean mAnswered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            Either<String, RelayAsk> request = RelayFrames.read(RelayAsk.parser(), frame);
            if (mAnswered || request.isLeft()) {
                context.close();
                return;
            }
            mAnswered = true;
            Runnable cancel =
                    mSource.hold(
                            request.get(),
                            answer ->
                                    context.writeAndFlush(
                                                    RelayFrames.write(context.alloc(), answer))
                                            .addListener(ChannelFutureListener.CLOSE));
            context.channel().closeFuture().addListener(closed -> cancel.run());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            sLogger.debug("STORE  a relay request of a peer failed: {}", String.valueOf(cause));
            context.close();
        }
    }
}
