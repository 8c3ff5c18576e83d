package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.ReportedLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class LoadReportCodecTest {

    @Example
    void readsReportsAsWritten() {
        List<LoadReport> reports = List.of(report(7, 5, 3, 5), report(-9, 0, 0, 1));
        assertThat(read(reports)).isEqualTo(reports);
    }

    /** Guards against a slow server that its neighbors take for a normal one. */
    @Example
    void readsReportsWithDurationOfWorkAsWritten() {
        List<LoadReport> reports =
                List.of(timed(7, OptionalInt.of(250)), timed(-9, OptionalInt.empty()));
        ByteBuf buffer = Unpooled.buffer();
        LoadReportCodec.writeTimed(reports, buffer);
        assertThat(buffer.readByte()).isEqualTo((byte) LoadReportCodec.TIMED_VERSION);
        assertThat(LoadReportCodec.readTimed(buffer)).isEqualTo(reports);
    }

    /** Guards against a neighbor with invalid durations, and datagrams above the maximum size. */
    @Example
    void durationsOfWorkAreCappedAndFitIntoDatagram() {
        List<LoadReport> many = Collections.nCopies(200, timed(7, OptionalInt.of(60_000)));
        ByteBuf buffer = Unpooled.buffer();
        LoadReportCodec.writeTimed(many, buffer);
        assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat(LoadReportCodec.readTimed(buffer.skipBytes(1)))
                .hasSize(LoadReportCodec.MAXIMUM_TIMED_REPORTS)
                .containsOnly(timed(7, OptionalInt.of(10_000)));
    }

    private static LoadReport timed(long hash, OptionalInt percent) {
        return new LoadReport(hash, new ReportedLoad(5, 3, 5, percent));
    }

    @Example
    void countsAreCappedAtOneByte() {
        assertThat(read(List.of(report(7, 300, 1_000, 5)))).containsExactly(report(7, 255, 255, 5));
    }

    @Example
    void datagramDoesNotExceedMaximumSize() {
        List<LoadReport> many =
                LongStream.range(0, 1_000).mapToObj(hash -> report(hash, 5, 1, 5)).toList();
        ByteBuf buffer = Unpooled.buffer();
        LoadReportCodec.write(many, buffer);
        assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat(LoadReportCodec.read(buffer.skipBytes(1)))
                .isEqualTo(many.subList(0, LoadReportCodec.MAXIMUM_REPORTS));
    }

    @Property(tries = 300, seed = "7")
    void arbitraryBytesYieldOnlyValidReports(@ForAll byte[] bytes) {
        for (LoadReport each : LoadReportCodec.read(Unpooled.wrappedBuffer(bytes))) {
            assertThat(each.load().slots()).isPositive();
            assertThat(each.load().running()).isNotNegative();
        }
    }

    private static LoadReport report(long hash, int running, int waiting, int slots) {
        return new LoadReport(hash, new ReportedLoad(running, waiting, slots));
    }

    private static List<LoadReport> read(List<LoadReport> reports) {
        ByteBuf buffer = Unpooled.buffer();
        LoadReportCodec.write(reports, buffer);
        assertThat(buffer.readByte()).isEqualTo((byte) LoadReportCodec.VERSION);
        return LoadReportCodec.read(buffer);
    }
}
