package io.masticpond.core.id;

/**
 * Identifier of an instance of the system, which is stable across restarts at one address.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public InstanceId {
        Identifiers.check(value, "An instance id");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceId && value.equals(((InstanceId) other).value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
