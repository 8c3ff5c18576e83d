package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * Says how many lines are missing above.
 *
 * @param noteworthy refusals, failures, retries and changes of belief
 * @param sentences lines of libraries and parts
 * @param plain requests that went as hoped
 * @param lost lines that the output did not take
 */
record DropSummaryLine(long noteworthy, long sentences, long plain, long lost)
        implements LineContent {

    /** Gives what is missing so far. */
    static DropSummaryLine total(LineCounts counts) {
        return new DropSummaryLine(
                counts.dropped(LinePriority.NOTEWORTHY),
                counts.dropped(LinePriority.SENTENCE),
                counts.dropped(LinePriority.PLAIN),
                counts.lost());
    }

    /** Gives what is missing since an earlier total. */
    DropSummaryLine since(DropSummaryLine earlier) {
        return new DropSummaryLine(
                noteworthy - earlier.noteworthy,
                sentences - earlier.sentences,
                plain - earlier.plain,
                lost - earlier.lost);
    }

    /**
     * Tells whether no line is missing; by hand, as a record's own equality is linked in a start.
     */
    boolean isNone() {
        return noteworthy == 0 && sentences == 0 && plain == 0 && lost == 0;
    }

    @Override
    public String event() {
        return "left-out";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        line.writeNumberField("noteworthy", noteworthy);
        line.writeNumberField("sentences", sentences);
        line.writeNumberField("plain", plain);
        line.writeNumberField("lost", lost);
    }
}
