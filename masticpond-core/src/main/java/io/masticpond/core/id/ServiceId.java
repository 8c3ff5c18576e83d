package io.masticpond.core.id;

/**
 * Identifier of a service that operators created.
 *
 * @param value the text, as the platform or an operator states it; not empty
 * @since 0.1
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is empty
     */
    public ServiceId {
        Identifiers.checkName(value, "A service id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId && value.equals(((ServiceId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
