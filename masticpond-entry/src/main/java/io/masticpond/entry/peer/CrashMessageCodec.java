package io.masticpond.entry.peer;

import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.RequestFingerprint;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Codec for the datagrams that report requests during which backend servers terminate.
 *
 * <p>A datagram is a version byte, followed for each message by its kind, the request fingerprint
 * and the fields of that kind; ages are in milliseconds. It is encoded by hand for the same reason
 * as {@link PeerMessageCodec}.
 *
 * @since 0.2
 */
public final class CrashMessageCodec {

    /**
     * Version byte that distinguishes these datagrams from those of {@link PeerMessageCodec} and
     * {@link LoadReportCodec}.
     */
    public static final int VERSION = 3;

    /** Maximum number of messages that fit into the largest datagram, whatever their kinds. */
    public static final int MAXIMUM_MESSAGES = 36;

    /** Maximum number of ends, or of rejections, that is reported. */
    private static final int MAXIMUM_COUNTED = 255;

    private static final byte END = 1;
    private static final byte VERDICT = 2;
    private static final byte CLEARANCE = 3;
    private static final byte REFUTATION = 4;

    private CrashMessageCodec() {}

    /**
     * Writes the first {@link #MAXIMUM_MESSAGES} of the given messages.
     *
     * @param messages the messages
     * @param out the buffer to write to
     */
    public static void write(List<CrashMessage> messages, ByteBuf out) {
        out.writeByte(VERSION);
        for (CrashMessage each : messages.subList(0, Math.min(MAXIMUM_MESSAGES, messages.size()))) {
            if (each instanceof CrashMessage.ServerEnd end) {
                writeHead(END, end, out);
                out.writeLong(end.serverHash());
                out.writeInt(millis(end.sentAgoNanos()));
                out.writeInt(millis(end.endedAgoNanos()));
            } else if (each instanceof CrashMessage.Verdict verdict) {
                writeHead(VERDICT, verdict, out);
                out.writeByte(Math.min(MAXIMUM_COUNTED, verdict.ends()));
                out.writeByte(Math.min(MAXIMUM_COUNTED, verdict.rejections()));
                out.writeInt(millis(verdict.agoNanos()));
            } else if (each instanceof CrashMessage.Refutation refutation) {
                writeHead(REFUTATION, refutation, out);
                out.writeLong(refutation.serverHash());
                out.writeInt(millis(refutation.endedAgoNanos()));
            } else {
                writeHead(CLEARANCE, each, out);
            }
        }
    }

    /**
     * Reads the messages that follow the version byte. A message that is truncated or invalid is
     * left out, together with all that follow it.
     *
     * @param in the bytes
     * @return the messages
     */
    public static List<CrashMessage> read(ByteBuf in) {
        List<CrashMessage> messages = new ArrayList<>();
        try {
            while (in.isReadable()) {
                Optional<CrashMessage> message = readOne(in);
                if (message.isEmpty()) {
                    break;
                }
                messages.add(message.get());
            }
        } catch (IndexOutOfBoundsException | IllegalArgumentException broken) {
            return messages;
        }
        return messages;
    }

    private static Optional<CrashMessage> readOne(ByteBuf in) {
        byte kind = in.readByte();
        RequestFingerprint request = new RequestFingerprint(in.readLong(), in.readLong());
        return switch (kind) {
            case END ->
                    Optional.of(
                            new CrashMessage.ServerEnd(
                                    request, in.readLong(), readAge(in), readAge(in)));
            case VERDICT ->
                    Optional.of(
                            new CrashMessage.Verdict(
                                    request,
                                    in.readUnsignedByte(),
                                    in.readUnsignedByte(),
                                    readAge(in)));
            case REFUTATION ->
                    Optional.of(new CrashMessage.Refutation(request, in.readLong(), readAge(in)));
            case CLEARANCE -> Optional.of(new CrashMessage.Clearance(request));
            default -> Optional.empty();
        };
    }

    private static void writeHead(byte kind, CrashMessage message, ByteBuf out) {
        out.writeByte(kind);
        out.writeLong(message.request().high());
        out.writeLong(message.request().low());
    }

    private static long readAge(ByteBuf in) {
        return TimeUnit.MILLISECONDS.toNanos(in.readUnsignedInt());
    }

    private static int millis(long nanos) {
        return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos));
    }
}
