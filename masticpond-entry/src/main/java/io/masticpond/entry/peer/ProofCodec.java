package io.masticpond.entry.peer;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Codec for the datagrams about the proof that a routing configuration is current.
 *
 * <p>A datagram is a version byte, the kind, a number that correlates an answer with its request,
 * and in an answer the age in milliseconds and the revision. An answer states an age and not a
 * point in time: the requester counts the age from before its request, so that no delay in transit
 * makes a proof appear younger.
 *
 * @since 0.2
 */
public final class ProofCodec {

    /** Version byte that distinguishes these datagrams from those of the other codecs. */
    public static final int VERSION = 5;

    private static final byte REQUEST = 1;
    private static final byte ANSWER = 2;

    private ProofCodec() {}

    /** Message about a proof. */
    public sealed interface Message permits Request, Answer {}

    /**
     * Request for a proof.
     *
     * @param number the number of the request
     */
    public record Request(long number) implements Message {}

    /**
     * Answer that carries a proof.
     *
     * @param number the number of the request
     * @param ageMillis the age of the proof
     * @param revision the revision that is proven to be the newest
     */
    public record Answer(long number, long ageMillis, long revision) implements Message {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @param out the buffer to write to
     */
    public static void write(Message message, ByteBuf out) {
        out.writeByte(VERSION);
        if (message instanceof Answer answer) {
            out.writeByte(ANSWER);
            out.writeLong(answer.number());
            out.writeInt((int) Math.min(Integer.MAX_VALUE, answer.ageMillis()));
            out.writeLong(answer.revision());
        } else {
            out.writeByte(REQUEST);
            out.writeLong(((Request) message).number());
        }
    }

    /**
     * Reads the message that follows the version byte.
     *
     * @param in the bytes
     * @return the message, or empty if it is truncated or of an unknown kind
     */
    public static Optional<Message> read(ByteBuf in) {
        if (in.readableBytes() < Byte.BYTES + Long.BYTES) {
            return Optional.empty();
        }
        byte kind = in.readByte();
        long number = in.readLong();
        if (kind == REQUEST) {
            return Optional.of(new Request(number));
        }
        if (kind != ANSWER || in.readableBytes() < Integer.BYTES + Long.BYTES) {
            return Optional.empty();
        }
        long age = in.readInt();
        long revision = in.readLong();
        return age < 0 || revision < 0
                ? Optional.empty()
                : Optional.of(new Answer(number, age, revision));
    }
}
