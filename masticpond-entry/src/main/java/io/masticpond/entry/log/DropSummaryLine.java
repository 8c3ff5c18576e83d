package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * Line that reports how many of the preceding lines are missing.
 *
 * @param noteworthy the dropped lines of refusals, failures, retries and view changes
 * @param sentences the dropped log messages of libraries and of the system's components
 * @param plain the dropped lines of requests that were answered at the first attempt and without a
 *     server error
 * @param lost the lines that the output did not accept
 */
record DropSummaryLine(long noteworthy, long sentences, long plain, long lost)
        implements LineContent {

    /** Returns the number of lines missing since the start. */
    static DropSummaryLine total(LineCounts counts) {
        return new DropSummaryLine(
                counts.dropped(LinePriority.NOTEWORTHY),
                counts.dropped(LinePriority.SENTENCE),
                counts.dropped(LinePriority.PLAIN),
                counts.lost());
    }

    /** Returns the number of lines missing since an earlier total. */
    DropSummaryLine since(DropSummaryLine earlier) {
        return new DropSummaryLine(
                noteworthy - earlier.noteworthy,
                sentences - earlier.sentences,
                plain - earlier.plain,
                lost - earlier.lost);
    }

    /**
     * Determines whether no line is missing. Compares each component explicitly, because the
     * generated {@code equals} method of a record would be linked during startup.
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
