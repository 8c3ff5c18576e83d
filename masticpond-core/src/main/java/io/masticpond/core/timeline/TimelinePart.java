package io.masticpond.core.timeline;

/**
 * Parts of the system. The name of a part is the prefix that marks its log lines and events.
 *
 * @since 0.1
 */
public enum TimelinePart {
    /** The caller interface. */
    CALLER,
    /** The operator interface. */
    OPERATOR,
    /** The client of the platform. */
    PLATFORM,
    /** The client of backend servers. */
    BACKEND,
    /** The links between instances. */
    INSTANCE,
    /** The selection of regions. */
    STEER,
    /** The admission of requests to slots. */
    ADMIT,
    /** Spending control. */
    SPEND,
    /** Operations that are executed at most once. */
    ONCE,
    /** Configuration. */
    CONFIG,
    /** Membership. */
    MEMBER,
    /** The start and stop of the process. */
    PROCESS
}
