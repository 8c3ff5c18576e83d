package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;
import java.io.IOException;

/**
 * A start, stop or reload of this process.
 *
 * @param instance this instance
 * @param incarnation the run
 * @param kind what happened
 * @param millis how long it took, or {@link RequestRecord#UNKNOWN}
 * @param detail what else there is to say, in one sentence; may be null
 * @since 0.2
 */
public record ProcessChange(
        InstanceId instance, long incarnation, Kind kind, long millis, String detail)
        implements LineContent {

    private static final int LONGEST_DETAIL = 512;

    /** Checks that the parts are given. */
    public ProcessChange {
        Assert.notNull(instance, "An instance");
        Assert.notNull(kind, "A kind");
    }

    /** What happened. */
    public enum Kind {
        /** The process runs. */
        STARTED,
        /** It takes clients. */
        READY,
        /** It read its settings again. */
        RELOADED,
        /** It takes no new clients and finishes what it has. */
        STOPPING,
        /** It ends. */
        STOPPED
    }

    @Override
    public String event() {
        return "process";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        line.writeStringField("instance", instance.value());
        line.writeNumberField("incarnation", incarnation);
        line.writeStringField("state", EnumNames.toName(kind));
        RequestLine.writeKnown(line, "millis", millis);
        if (detail != null) {
            line.writeStringField("detail", LineText.cut(detail, LONGEST_DETAIL));
        }
    }
}
