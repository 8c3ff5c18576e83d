package io.masticpond.testing.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Channel handler that passes the requests of one connection to its stand-in backend server, one at
 * a time. A request that arrives before the previous one has ended closes the connection.
 */
final class BackendServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String HEALTH = "/health";
    private static final String LOAD = "/load";

    private final BackendServerWork mWork;
    private Exchange mExchange;

    BackendServerHandler(BackendServerWork work) {
        mWork = work;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mWork.addConnection(context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mWork.removeConnection(context.channel());
        if (mExchange != null) {
            mWork.abandon(mExchange);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess() || isBusy()) {
            context.close();
            return;
        }
        if (HEALTH.equals(request.uri())) {
            mWork.health(context.channel());
        } else if (LOAD.equals(request.uri())) {
            mWork.load(context.channel());
        } else {
            mExchange = mWork.arrive(context.channel(), request);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private boolean isBusy() {
        return mExchange != null && !mExchange.isEnded();
    }
}
