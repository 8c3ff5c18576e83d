package io.masticpond.daemon.instance;

import com.google.protobuf.CodedInputStream;
import io.masticpond.protocol.generated.Envelope;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.function.IntConsumer;

/** Decoder of envelopes from frames that are prefixed with their length in four bytes. */
final class EnvelopeDecoder extends LengthFieldBasedFrameDecoder {

    /** Size of the length prefix of a frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    private final IntConsumer mBytesListener;

    /**
     * Creates a decoder that fails on frames above the given size, before it has read them.
     *
     * @param maximumFrameBytes the maximum size of a frame, in bytes, without its prefix
     * @param bytesListener receives the number of bytes of each read, including those of incomplete
     *     frames
     */
    EnvelopeDecoder(int maximumFrameBytes, IntConsumer bytesListener) {
        super(maximumFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
        mBytesListener = bytesListener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            mBytesListener.accept(bytes.readableBytes());
        }
        super.channelRead(context, message);
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
        ByteBuf frame = (ByteBuf) super.decode(context, in);
        if (frame == null) {
            return null;
        }
        try {
            return parse(frame);
        } finally {
            frame.release();
        }
    }

    private static Envelope parse(ByteBuf frame) throws IOException {
        return Envelope.parseFrom(CodedInputStream.newInstance(frame.nioBuffer()));
    }
}
