package io.masticpond.core.id;

/**
 * Identifier of an availability zone.
 *
 * @param value the text, as the platform or an operator states it; not empty
 * @since 0.1
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is empty
     */
    public ZoneId {
        Identifiers.checkName(value, "An availability zone id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ZoneId && value.equals(((ZoneId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
