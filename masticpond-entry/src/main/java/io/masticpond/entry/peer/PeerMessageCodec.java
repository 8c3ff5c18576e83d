package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import io.netty.buffer.ByteBuf;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Codec for the datagrams between instances.
 *
 * <p>A datagram is a version byte; the kind; the sender; in a list request, the id after which the
 * list is requested; and updates up to the end. Numbers are little-endian groups of 7 bits, texts
 * are in UTF-8 and have a length byte, and flags state the address family. It is encoded by hand,
 * unlike the frames of the links: a heartbeat has five fields, is sent all the time, and must not
 * cost a restarted process the initialization of a message library.
 */
final class PeerMessageCodec {

    /** Maximum size of a datagram, well below what any link carries without fragmentation. */
    static final int MAXIMUM_BYTES = 1200;

    private static final int VERSION = 1;
    private static final int STATE_MASK = 0x0f;
    private static final int FLAG_PLACE = 0x10;
    private static final int FLAG_ENTRY_IPV6 = 0x20;
    private static final int FLAG_INTERNAL_IPV6 = 0x40;
    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int GROUP_BITS = 7;
    private static final int GROUP_MASK = 0x7f;
    private static final int MORE = 0x80;
    private static final int LONG_BITS = 64;
    private static final int MAXIMUM_TEXT_BYTES = 255;

    private PeerMessageCodec() {}

    /** Writes a message, leaving out the updates that do not fit. */
    static void write(PeerMessage message, ByteBuf out) {
        int start = out.writerIndex();
        out.writeByte(VERSION);
        out.writeByte(message.kind().ordinal());
        writeUpdate(message.sender(), out);
        if (message.kind() == PeerMessage.Kind.LIST_ASK) {
            writeText(message.listAfter(), out);
        }
        for (PeerUpdate update : message.updates()) {
            int before = out.writerIndex();
            writeUpdate(update, out);
            if (out.writerIndex() - start > MAXIMUM_BYTES) {
                out.writerIndex(before);
                return;
            }
        }
    }

    /** Reads a message. Returns empty if it has another layout or is malformed. */
    static Optional<PeerMessage> read(ByteBuf in) {
        try {
            return in.readByte() == VERSION ? Optional.of(readMessage(in)) : Optional.empty();
        } catch (IndexOutOfBoundsException | IllegalArgumentException broken) {
            return Optional.empty();
        }
    }

    private static PeerMessage readMessage(ByteBuf in) {
        PeerMessage.Kind kind = valueOf(PeerMessage.Kind.values(), in.readByte());
        PeerUpdate sender = readUpdate(in);
        String listAfter = kind == PeerMessage.Kind.LIST_ASK ? readText(in) : "";
        List<PeerUpdate> updates = new ArrayList<>();
        while (in.isReadable()) {
            updates.add(readUpdate(in));
        }
        return new PeerMessage(kind, sender, listAfter, updates);
    }

    private static <T> T valueOf(T[] values, int index) {
        Assert.isTrue(index < values.length, "The value %d is unknown.", index);
        return values[index];
    }

    private static void writeUpdate(PeerUpdate update, ByteBuf out) {
        out.writeByte(
                update.state().ordinal() | update.place().map(PeerMessageCodec::flags).orElse(0));
        writeText(update.id().value(), out);
        writeNumber(update.incarnation(), out);
        writeNumber(update.sequence(), out);
        writeNumber(update.revision(), out);
        if (update.place().isPresent()) {
            PeerPlace place = update.place().get();
            writeText(place.zone().value(), out);
            writeText(place.region().value(), out);
            writeAddress(place.entry(), out);
            writeAddress(place.internal(), out);
        }
    }

    private static int flags(PeerPlace place) {
        return FLAG_PLACE
                | (isIpv6(place.entry()) ? FLAG_ENTRY_IPV6 : 0)
                | (isIpv6(place.internal()) ? FLAG_INTERNAL_IPV6 : 0);
    }

    private static boolean isIpv6(ServerAddress address) {
        return address.ip().indexOf(':') >= 0;
    }

    private static PeerUpdate readUpdate(ByteBuf in) {
        int flags = in.readByte();
        PeerUpdate.State state = valueOf(PeerUpdate.State.values(), flags & STATE_MASK);
        InstanceId id = new InstanceId(readText(in));
        long incarnation = readNumber(in);
        long sequence = readNumber(in);
        long revision = readNumber(in);
        Optional<PeerPlace> place =
                (flags & FLAG_PLACE) != 0 ? Optional.of(readPlace(flags, in)) : Optional.empty();
        return new PeerUpdate(id, incarnation, sequence, revision, state, place);
    }

    private static PeerPlace readPlace(int flags, ByteBuf in) {
        ZoneId zone = new ZoneId(readText(in));
        RegionId region = new RegionId(readText(in));
        ServerAddress entry = readAddress((flags & FLAG_ENTRY_IPV6) != 0, in);
        ServerAddress internal = readAddress((flags & FLAG_INTERNAL_IPV6) != 0, in);
        return new PeerPlace(zone, region, entry, internal);
    }

    private static void writeAddress(ServerAddress address, ByteBuf out) {
        out.writeBytes(NetUtil.createByteArrayFromIpAddressString(address.ip()));
        out.writeShort(address.port());
    }

    private static ServerAddress readAddress(boolean isIpv6, ByteBuf in) {
        byte[] ip = new byte[isIpv6 ? IPV6_BYTES : IPV4_BYTES];
        in.readBytes(ip);
        return new ServerAddress(NetUtil.bytesToIpAddress(ip), in.readUnsignedShort());
    }

    private static void writeText(String text, ByteBuf out) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        Assert.isTrue(
                bytes.length <= MAXIMUM_TEXT_BYTES,
                "A text must have at most %d bytes, but had %d.",
                MAXIMUM_TEXT_BYTES,
                bytes.length);
        out.writeByte(bytes.length);
        out.writeBytes(bytes);
    }

    private static String readText(ByteBuf in) {
        return in.readCharSequence(in.readUnsignedByte(), StandardCharsets.UTF_8).toString();
    }

    private static void writeNumber(long value, ByteBuf out) {
        long left = value;
        while ((left & ~GROUP_MASK) != 0) {
            out.writeByte((int) (left & GROUP_MASK) | MORE);
            left >>>= GROUP_BITS;
        }
        out.writeByte((int) left);
    }

    private static long readNumber(ByteBuf in) {
        long value = 0;
        for (int shift = 0; shift < LONG_BITS; shift += GROUP_BITS) {
            byte group = in.readByte();
            value |= (long) (group & GROUP_MASK) << shift;
            if ((group & MORE) == 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("A number has too many groups.");
    }
}
