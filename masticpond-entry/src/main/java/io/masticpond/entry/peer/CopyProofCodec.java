package io.masticpond.entry.peer;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Codec for the datagrams about the proofs that the copies of the store miss no change.
 *
 * <p>A datagram is a version byte, the kind, a number that correlates an answer with its request,
 * and in an answer, for each copy, its kind, the age in milliseconds and the revision. The
 * requester counts the age from before its request, so that no delay in transit makes a proof
 * appear younger.
 *
 * @since 0.3
 */
public final class CopyProofCodec {

    /** Version byte that distinguishes these datagrams from those of the other codecs. */
    public static final int VERSION = 9;

    private static final byte REQUEST = 1;
    private static final byte ANSWER = 2;
    private static final int HEAD_BYTES = Byte.BYTES + Long.BYTES;
    private static final int PROOF_BYTES = Byte.BYTES + Integer.BYTES + Long.BYTES;

    private CopyProofCodec() {}

    /** Message about proofs. */
    public sealed interface Message permits Request, Answer {}

    /**
     * Request for the proofs of an instance.
     *
     * @param number the number of the request
     */
    public record Request(long number) implements Message {}

    /**
     * Answer that carries proofs.
     *
     * @param number the number of the request
     * @param proofs the proofs, one for each copy at most
     */
    public record Answer(long number, List<Proof> proofs) implements Message {}

    /**
     * Proof of one copy.
     *
     * @param kind the number of the kind of object
     * @param ageMillis the age of the proof, an upper bound
     * @param revision the revision of the newest change
     */
    public record Proof(int kind, long ageMillis, long revision) {}

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
            for (Proof proof : answer.proofs()) {
                out.writeByte(proof.kind());
                out.writeInt((int) Math.min(Integer.MAX_VALUE, proof.ageMillis()));
                out.writeLong(proof.revision());
            }
        } else {
            out.writeByte(REQUEST);
            out.writeLong(((Request) message).number());
        }
    }

    /**
     * Reads the message that follows the version byte.
     *
     * @param in the bytes
     * @return the message, or empty if it is truncated, invalid or of an unknown kind
     */
    public static Optional<Message> read(ByteBuf in) {
        if (in.readableBytes() < HEAD_BYTES) {
            return Optional.empty();
        }
        byte kind = in.readByte();
        long number = in.readLong();
        if (kind == REQUEST) {
            return Optional.of(new Request(number));
        }
        if (kind != ANSWER || in.readableBytes() % PROOF_BYTES != 0) {
            return Optional.empty();
        }
        List<Proof> proofs = new ArrayList<>();
        while (in.isReadable()) {
            Proof proof = new Proof(in.readUnsignedByte(), in.readInt(), in.readLong());
            if (proof.ageMillis() < 0 || proof.revision() < 0) {
                return Optional.empty();
            }
            proofs.add(proof);
        }
        return Optional.of(new Answer(number, proofs));
    }
}
