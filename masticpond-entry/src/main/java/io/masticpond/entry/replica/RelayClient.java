package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.support.Assert;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.NetUtil;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * {@link RelayLink} over TCP that opens one connection for each request. Confined to the control
 * thread.
 *
 * @since 0.2
 */
public final class RelayClient implements RelayLink {

    private static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

    private final EventLoop mLoop;

    /**
     * Creates a client.
     *
     * @param loop the control thread
     */
    public RelayClient(EventLoop loop) {
        mLoop = Assert.notNull(loop, "An event loop");
    }

    @Override
    public void request(
            ServerAddress address,
            RelayAsk request,
            Duration timeout,
            Consumer<Either<String, RelayAnswer>> result) {
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(address.ip());
        if (ip == null) {
            result.accept(Either.left("The address of the peer is not an IP address."));
            return;
        }
        Exchange exchange = new Exchange(request, result);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        RelayFrames.decoder(MAXIMUM_ANSWER_BYTES),
                                                        exchange);
                                    }
                                });
        Channel channel = bootstrap.connect(socketAddress(ip, address.port())).channel();
        Future<?> timeoutTask =
                mLoop.schedule(() -> channel.close(), timeout.toMillis(), TimeUnit.MILLISECONDS);
        channel.closeFuture()
                .addListener(
                        closed -> {
                            timeoutTask.cancel(false);
                            exchange.complete(Either.left("The peer gave no answer."));
                        });
    }

    private static InetSocketAddress socketAddress(byte[] ip, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException exception) {
            throw new IllegalStateException("An IP address has 4 or 16 bytes.", exception);
        }
    }

    /** Channel handler that sends the request and receives the answer. */
    private static final class Exchange extends SimpleChannelInboundHandler<ByteBuf> {

        private final RelayAsk mRequest;
        private final Consumer<Either<String, RelayAnswer>> mResult;
        private boolean mCompleted;

        Exchange(RelayAsk request, Consumer<Either<String, RelayAnswer>> result) {
            mRequest = request;
            mResult = result;
        }

        void complete(Either<String, RelayAnswer> result) {
            if (mCompleted) {
                return;
            }
            mCompleted = true;
            mResult.accept(result);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(RelayFrames.write(context.alloc(), mRequest));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            complete(RelayFrames.read(RelayAnswer.parser(), frame));
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
