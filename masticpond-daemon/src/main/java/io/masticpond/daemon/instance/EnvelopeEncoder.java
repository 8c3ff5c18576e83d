package io.masticpond.daemon.instance;

import com.google.protobuf.CodedOutputStream;
import io.masticpond.protocol.generated.Envelope;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;

/**
 * Encoder that writes each envelope as a single buffer, so that the promise of the write reports
 * how much of the envelope was written.
 */
final class EnvelopeEncoder extends MessageToByteEncoder<Envelope> {

    EnvelopeEncoder() {
        super(Envelope.class);
    }

    @Override
    protected ByteBuf allocateBuffer(
            ChannelHandlerContext context, Envelope message, boolean preferDirect) {
        int bytes = message.getSerializedSize() + EnvelopeDecoder.LENGTH_BYTES;
        return context.alloc().ioBuffer(bytes, bytes);
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope message, ByteBuf out)
            throws IOException {
        int bytes = message.getSerializedSize();
        out.writeInt(bytes);
        CodedOutputStream stream =
                CodedOutputStream.newInstance(out.nioBuffer(out.writerIndex(), bytes));
        message.writeTo(stream);
        stream.flush();
        out.writerIndex(out.writerIndex() + bytes);
    }
}
