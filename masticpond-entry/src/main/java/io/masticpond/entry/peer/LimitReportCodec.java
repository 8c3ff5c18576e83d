package io.masticpond.entry.peer;

import io.masticpond.core.serverlimit.LimitReport;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Codec for the datagrams that report the limits of backend servers.
 *
 * <p>A datagram is a version byte, a byte that says whether the receiver forwards updates to its
 * zone, then for each server the hash of its id, its limit and two ages in milliseconds. It is
 * encoded by hand for the same reason as {@link PeerMessageCodec}.
 *
 * @since 0.2
 */
public final class LimitReportCodec {

    /** Version byte that distinguishes these datagrams from those of the other codecs. */
    public static final int VERSION = 6;

    private static final int REPORT_BYTES = 2 * Long.BYTES + 2 * Integer.BYTES;

    /** Maximum number of reports that fit into the largest datagram. */
    public static final int MAXIMUM_REPORTS = (PeerMessageCodec.MAXIMUM_BYTES - 2) / REPORT_BYTES;

    /**
     * Content of one datagram.
     *
     * @param forward whether the receiver forwards updates to its zone
     * @param reports the reports
     */
    public record Content(boolean forward, List<LimitReport> reports) {}

    private LimitReportCodec() {}

    /**
     * Writes a datagram with the first {@link #MAXIMUM_REPORTS} of its reports.
     *
     * @param content the datagram
     * @param out the buffer to write to
     */
    public static void write(Content content, ByteBuf out) {
        out.writeByte(VERSION).writeBoolean(content.forward());
        int count = Math.min(MAXIMUM_REPORTS, content.reports().size());
        for (LimitReport each : content.reports().subList(0, count)) {
            out.writeLong(each.serverHash()).writeDouble(each.perSecond());
            out.writeInt(millis(each.sentAgoNanos())).writeInt(millis(each.receivedAgoNanos()));
        }
    }

    /**
     * Reads what follows the version byte of a datagram. Reports that are truncated or invalid are
     * left out.
     *
     * @param in the bytes
     * @return the content of the datagram
     */
    public static Content read(ByteBuf in) {
        boolean forward = in.isReadable() && in.readBoolean();
        List<LimitReport> reports = new ArrayList<>();
        while (in.readableBytes() >= REPORT_BYTES) {
            long hash = in.readLong();
            double perSecond = in.readDouble();
            long sentAgo = nanos(in.readUnsignedInt());
            long receivedAgo = nanos(in.readUnsignedInt());
            if (perSecond >= 0 && sentAgo >= receivedAgo) {
                reports.add(new LimitReport(hash, perSecond, sentAgo, receivedAgo));
            }
        }
        return new Content(forward, reports);
    }

    private static int millis(long nanos) {
        return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
