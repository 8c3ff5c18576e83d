package io.masticpond.core.capacity;

/**
 * Requests of a group of callers for a service.
 *
 * @param perSecond the requests per second that arrive
 * @param admittedPerSecond the requests per second that are admitted
 * @since 0.3
 */
public record Demand(double perSecond, double admittedPerSecond) {

    /** No requests. */
    public static final Demand NONE = new Demand(0, 0);

    /**
     * Adds another demand.
     *
     * @param other the other demand
     * @return the sum
     */
    public Demand plus(Demand other) {
        return new Demand(perSecond + other.perSecond, admittedPerSecond + other.admittedPerSecond);
    }

    /**
     * Subtracts a part.
     *
     * @param part a demand that is contained in this one
     * @return the remainder, never negative
     */
    public Demand minus(Demand part) {
        return new Demand(
                Math.max(0, perSecond - part.perSecond),
                Math.max(0, admittedPerSecond - part.admittedPerSecond));
    }
}
