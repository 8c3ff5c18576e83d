package io.masticpond.core.timeline;

/**
 * Interface for recording the events of this process in bounded memory. Implementations must be
 * thread-safe.
 *
 * @since 0.1
 */
public interface Timeline {

    /** Implementation that discards all events, for tests that do not inspect them. */
    Timeline NONE = (part, event, service, object, detail) -> {};

    /**
     * Records an event with the current time.
     *
     * @param part the part of the system in which it occurred
     * @param event the name of the event in lower case with hyphens, such as "request-refused"
     * @param service the service that it concerns, or ""
     * @param object the id of the request, plan, instance or other object that it concerns, or ""
     * @param detail a short additional description, or ""
     */
    void record(TimelinePart part, String event, String service, String object, String detail);
}
