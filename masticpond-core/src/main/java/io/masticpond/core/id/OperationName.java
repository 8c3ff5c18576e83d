package io.masticpond.core.id;

/**
 * Name of an operation of a service, which is a method with a path prefix.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record OperationName(String value) implements Comparable<OperationName> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public OperationName {
        Identifiers.check(value, "An operation name");
    }

    @Override
    public int compareTo(OperationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
