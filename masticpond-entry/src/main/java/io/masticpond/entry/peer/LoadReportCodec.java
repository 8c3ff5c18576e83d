package io.masticpond.entry.peer;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.ReportedLoad;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

/**
 * Codec for the datagrams that report the load of backend servers.
 *
 * <p>A datagram is a version byte, then for each server the hash of its id and three bytes: the
 * number of its running requests, of its waiting requests and of its slots. Counts above 255 are
 * reported as 255. Loads that state the duration of work are sent in datagrams of another version,
 * in which two bytes follow with the duration in percent. Both are encoded by hand for the same
 * reason as {@link PeerMessageCodec}.
 *
 * @since 0.2
 */
public final class LoadReportCodec {

    /** Version byte that distinguishes these datagrams from those of {@link PeerMessageCodec}. */
    public static final int VERSION = 2;

    /** Version byte of datagrams whose loads state the duration of work. */
    public static final int TIMED_VERSION = 7;

    private static final int REPORT_BYTES = Long.BYTES + 3;
    private static final int TIMED_REPORT_BYTES = REPORT_BYTES + Short.BYTES;
    private static final int MAXIMUM_VALUE = 255;

    /** Maximum number of reports that fit into the largest datagram. */
    static final int MAXIMUM_REPORTS = (PeerMessageCodec.MAXIMUM_BYTES - 1) / REPORT_BYTES;

    /** Maximum number of reports with the duration of work that fit into the largest datagram. */
    public static final int MAXIMUM_TIMED_REPORTS =
            (PeerMessageCodec.MAXIMUM_BYTES - 1) / TIMED_REPORT_BYTES;

    private LoadReportCodec() {}

    /**
     * Writes the reports without the duration of work, leaving out those that do not fit.
     *
     * @param reports the reports
     * @param out the buffer to write to
     */
    public static void write(List<LoadReport> reports, ByteBuf out) {
        out.writeByte(VERSION);
        for (LoadReport each : reports.subList(0, Math.min(MAXIMUM_REPORTS, reports.size()))) {
            writeCounts(each, out);
        }
    }

    /**
     * Writes the reports with the duration of work, leaving out those that do not fit. A load
     * without a duration is written with 0.
     *
     * @param reports the reports
     * @param out the buffer to write to
     */
    public static void writeTimed(List<LoadReport> reports, ByteBuf out) {
        out.writeByte(TIMED_VERSION);
        int count = Math.min(MAXIMUM_TIMED_REPORTS, reports.size());
        for (LoadReport each : reports.subList(0, count)) {
            writeCounts(each, out);
            out.writeShort(each.load().timePercent().orElse(0));
        }
    }

    private static void writeCounts(LoadReport report, ByteBuf out) {
        out.writeLong(report.serverHash());
        out.writeByte(Math.min(MAXIMUM_VALUE, report.load().running()));
        out.writeByte(Math.min(MAXIMUM_VALUE, report.load().waiting()));
        out.writeByte(Math.min(MAXIMUM_VALUE, report.load().slots()));
    }

    /**
     * Reads the reports that follow the version byte. Reports that are truncated or state no slots
     * are left out.
     *
     * @param in the bytes
     * @return the reports
     */
    public static List<LoadReport> read(ByteBuf in) {
        return read(in, false);
    }

    /**
     * Reads the reports that follow the version byte of datagrams with the duration of work.
     * Reports that are truncated or state no slots are left out, and a duration above the maximum
     * is capped.
     *
     * @param in the bytes
     * @return the reports
     */
    public static List<LoadReport> readTimed(ByteBuf in) {
        return read(in, true);
    }

    private static List<LoadReport> read(ByteBuf in, boolean isTimed) {
        List<LoadReport> reports = new ArrayList<>();
        int bytes = isTimed ? TIMED_REPORT_BYTES : REPORT_BYTES;
        while (in.readableBytes() >= bytes) {
            long hash = in.readLong();
            int running = in.readUnsignedByte();
            int waiting = in.readUnsignedByte();
            int slots = in.readUnsignedByte();
            int percent = isTimed ? in.readUnsignedShort() : 0;
            if (slots > 0) {
                ReportedLoad load = new ReportedLoad(running, waiting, slots, time(percent));
                reports.add(new LoadReport(hash, load));
            }
        }
        return reports;
    }

    private static OptionalInt time(int percent) {
        return percent == 0
                ? OptionalInt.empty()
                : OptionalInt.of(Math.min(ReportedLoad.MAXIMUM_TIME_PERCENT, percent));
    }
}
