package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decoder for the answers of a backend server. Decodes bytes only while an answer is expected,
 * because all others belong to no request. Notifies the connection once all bytes of a read have
 * been decoded, and distinguishes an orderly end of the input from any other.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private final BackendConnection mConnection;

    AnswerDecoder(BackendConnection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(ReceivedBytes.MAXIMUM_HEADER_BYTES)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES));
        mConnection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
            throws Exception {
        if (mConnection.expectsBytes()) {
            super.decode(context, bytes, out);
            return;
        }
        bytes.skipBytes(bytes.readableBytes());
        mConnection.unsolicitedBytesReceived();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message)
                || (message instanceof HttpResponse response
                        && mConnection.isAnswerWithoutBody(response));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mConnection.bytesReceived(((ByteBuf) message).readableBytes());
        super.channelRead(context, message);
        mConnection.readDone();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            super.userEventTriggered(context, event);
            return;
        }
        mConnection.inputEnding(InputEnd.ORDERLY);
        super.userEventTriggered(context, event);
        mConnection.inputEnded(InputEnd.ORDERLY);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        mConnection.inputEnding(InputEnd.BROKEN);
        super.channelInactive(context);
        mConnection.inputEnded(InputEnd.BROKEN);
    }
}
