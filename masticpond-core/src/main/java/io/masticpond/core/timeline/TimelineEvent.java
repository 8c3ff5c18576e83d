package io.masticpond.core.timeline;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;

/**
 * Event that occurred in one process; its size is bounded.
 *
 * @param time the hybrid time
 * @param instance the instance in which it occurred
 * @param part the part of the system
 * @param event the name of the event in lower case with hyphens
 * @param service the service that it concerns, or ""
 * @param object the id of the request, plan, instance or other object that it concerns, or ""
 * @param detail a short additional description, or ""
 * @since 0.1
 */
public record TimelineEvent(
        HybridTime time,
        InstanceId instance,
        TimelinePart part,
        String event,
        String service,
        String object,
        String detail) {

    /** The maximum length of a name or id in characters; longer ones are truncated. */
    public static final int MAXIMUM_NAME_LENGTH = 96;

    /** The maximum length of a detail in characters; longer ones are truncated. */
    public static final int MAXIMUM_DETAIL_LENGTH = 240;

    private static final String TRUNCATION_MARK = "~";

    /** Validates the components and truncates those that are too long. */
    public TimelineEvent {
        Assert.notNull(time, "A time");
        Assert.notNull(instance, "An instance id");
        Assert.notNull(part, "A part");
        event = truncate(Assert.hasText(event, "The name of an event"), MAXIMUM_NAME_LENGTH);
        service = truncate(Assert.notNull(service, "A service"), MAXIMUM_NAME_LENGTH);
        object = truncate(Assert.notNull(object, "An object"), MAXIMUM_NAME_LENGTH);
        detail = truncate(Assert.notNull(detail, "A detail"), MAXIMUM_DETAIL_LENGTH);
    }

    private static String truncate(String text, int maximumLength) {
        if (text.length() <= maximumLength) {
            return text;
        }
        return text.substring(0, maximumLength - TRUNCATION_MARK.length()) + TRUNCATION_MARK;
    }
}
