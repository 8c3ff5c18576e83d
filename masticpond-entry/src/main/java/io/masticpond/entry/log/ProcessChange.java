package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;
import java.io.IOException;

/**
 * Start, stop or reload of this process.
 *
 * @param instance this instance
 * @param incarnation the incarnation of this process
 * @param kind the kind of change
 * @param millis how long the change took, in milliseconds, or {@link RequestRecord#UNKNOWN}
 * @param detail further details in one sentence; may be null
 * @since 0.2
 */
public record ProcessChange(
        InstanceId instance, long incarnation, Kind kind, long millis, String detail)
        implements LineContent {

    private static final int MAXIMUM_DETAIL_LENGTH = 512;

    /** Checks that the instance and the kind are given. */
    public ProcessChange {
        Assert.notNull(instance, "An instance");
        Assert.notNull(kind, "A kind");
    }

    /** Kinds of changes of a process. */
    public enum Kind {
        /** The process has started. */
        STARTED,
        /** The process accepts clients. */
        READY,
        /** The process has reloaded its settings. */
        RELOADED,
        /** The process accepts no new clients and completes the open requests. */
        STOPPING,
        /** The process terminates. */
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
            line.writeStringField("detail", LineText.truncate(detail, MAXIMUM_DETAIL_LENGTH));
        }
    }
}
