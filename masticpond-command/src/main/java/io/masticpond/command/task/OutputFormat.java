package io.masticpond.command.task;

import io.masticpond.command.view.MergedTimeline;
import io.masticpond.command.view.TimelineJson;
import io.masticpond.command.view.TimelinePage;
import io.masticpond.command.view.TimelineView;
import java.util.Locale;

/**
 * Formats of standard output.
 *
 * @since 0.1
 */
public enum OutputFormat {
    /** Tables. */
    TABLE {
        @Override
        void write(MergedTimeline timeline, CommandContext context) {
            TimelineView.show(timeline, context.page());
        }
    },
    /** JSON, one document on each line. */
    JSON {
        @Override
        void write(MergedTimeline timeline, CommandContext context) {
            TimelineJson.documents(timeline).forEach(context::writeJson);
        }
    },
    /** HTML page; supported for the timeline only. */
    HTML {
        @Override
        void write(MergedTimeline timeline, CommandContext context) {
            context.terminal().output().println(TimelinePage.render(timeline));
        }
    };

    /** Writes a timeline to standard output in this format. */
    abstract void write(MergedTimeline timeline, CommandContext context);

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
