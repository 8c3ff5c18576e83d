package io.masticpond.command.view;

import io.masticpond.command.client.TimelineAnswer;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

/**
 * Renderer of a timeline as a table.
 *
 * @since 0.1
 */
public final class TimelineView {

    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("MM-dd HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private TimelineView() {}

    /**
     * Shows a timeline, followed by every instance whose events are missing.
     *
     * @param timeline the timeline
     * @param page the page to write to
     */
    public static void show(MergedTimeline timeline, Page page) {
        TextTable table =
                new TextTable(
                        Column.textColumn("TIME (UTC)"),
                        Column.textColumn("INSTANCE"),
                        Column.textColumn("PART"),
                        Column.textColumn("EVENT"),
                        Column.textColumn("SERVICE"),
                        Column.textColumn("OBJECT"),
                        Column.textColumn("DETAIL"));
        for (MergedTimeline.Entry entry : timeline.entries()) {
            TimelineAnswer.Event event = entry.event();
            table.add(
                    Cell.of(timeOf(event), Style.FAINT),
                    Cell.of(entry.instance()),
                    Cell.of(event.part()),
                    Cell.of(event.event(), Style.BOLD),
                    Cell.of(event.service()),
                    Cell.of(event.object()),
                    Cell.of(event.detail()));
        }
        page.table(table);
        page.blankLine();
        page.line(summary(timeline));
        for (Lane lane : timeline.lanes()) {
            if (lane.state() != Lane.State.ANSWERED) {
                page.line("! No events of " + lane.instance() + ": " + lane.reason(), Style.BAD);
            }
        }
    }

    private static String timeOf(TimelineAnswer.Event event) {
        return TIME.format(Instant.ofEpochMilli(event.wallMillis())) + "+" + event.counter();
    }

    private static String summary(MergedTimeline timeline) {
        long answered =
                timeline.lanes().stream()
                        .filter(lane -> lane.state() == Lane.State.ANSWERED)
                        .count();
        return timeline.entries().size()
                + " events of "
                + answered
                + " of "
                + timeline.lanes().size()
                + " instances.";
    }
}
