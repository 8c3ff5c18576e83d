package io.masticpond.entry.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.vavr.control.Either;

/** Utility methods for the frames of a relay connection: a length of four bytes, then a message. */
final class RelayFrames {

    private static final int LENGTH_BYTES = 4;

    private RelayFrames() {}

    /**
     * Creates a decoder that extracts the bytes of each message.
     *
     * @param maxBytes the maximum size of a message
     * @return the decoder
     */
    static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
        return new LengthFieldBasedFrameDecoder(
                maxBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /**
     * Encodes a message as a frame.
     *
     * @param allocator the allocator of the buffer
     * @param message the message
     * @return the frame, to be released by its reader
     */
    static ByteBuf write(ByteBufAllocator allocator, MessageLite message) {
        byte[] bytes = message.toByteArray();
        ByteBuf frame = allocator.buffer(LENGTH_BYTES + bytes.length);
        return frame.writeInt(bytes.length).writeBytes(bytes);
    }

    /**
     * Decodes a message.
     *
     * @param <T> the type of the message
     * @param parser its parser
     * @param frame its bytes, not released here
     * @return the message, or one sentence that describes the error
     */
    static <T> Either<String, T> read(Parser<T> parser, ByteBuf frame) {
        try {
            return Either.right(parser.parseFrom(ByteBufUtil.getBytes(frame)));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left("A message could not be read.");
        }
    }
}
