package io.masticpond.core.id;

/**
 * Identifier of a route of the configuration.
 *
 * @param value the name
 * @since 0.2
 */
public record RouteId(String value) implements Comparable<RouteId> {

    /** Validates the name. */
    public RouteId {
        Identifiers.checkName(value, "A route id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof RouteId && value.equals(((RouteId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
