package io.masticpond.entry.peer;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * The layout of datagrams about the proof that a routing configuration is current: a version byte,
 * the kind, a number that joins an answer to its ask, and in an answer the age in milliseconds and
 * the revision. An answer tells an age and not a moment: who asked counts it from before the ask,
 * so that no delay on the way makes a proof look younger.
 *
 * @since 0.2
 */
public final class ProofCodec {

    /** Tells these datagrams from the others between instances. */
    public static final int VERSION = 5;

    private static final byte ASK = 1;
    private static final byte ANSWER = 2;

    private ProofCodec() {}

    /** A message about a proof. */
    public sealed interface Message permits Request, Answer {}

    /**
     * Asks for a proof.
     *
     * @param number the number of the ask
     */
    public record Request(long number) implements Message {}

    /**
     * Gives a proof.
     *
     * @param number the number of the ask
     * @param ageMillis how old the proof is
     * @param revision the revision that it proves to be the newest
     */
    public record Answer(long number, long ageMillis, long revision) implements Message {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @param out takes the bytes
     */
    public static void write(Message message, ByteBuf out) {
        out.writeByte(VERSION);
        if (message instanceof Answer answer) {
            out.writeByte(ANSWER);
            out.writeLong(answer.number());
            out.writeInt((int) Math.min(Integer.MAX_VALUE, answer.ageMillis()));
            out.writeLong(answer.revision());
        } else {
            out.writeByte(ASK);
            out.writeLong(((Request) message).number());
        }
    }

    /**
     * Reads a message after the version.
     *
     * @param in the bytes
     * @return the message, or empty if it is cut short or unknown
     */
    public static Optional<Message> read(ByteBuf in) {
        if (in.readableBytes() < Byte.BYTES + Long.BYTES) {
            return Optional.empty();
        }
        byte kind = in.readByte();
        long number = in.readLong();
        if (kind == ASK) {
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
