package io.masticpond.core.id;

/**
 * Identifier of a request of a caller.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public RequestId {
        Identifiers.check(value, "A request id");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
