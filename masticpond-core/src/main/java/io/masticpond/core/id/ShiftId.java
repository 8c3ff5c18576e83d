package io.masticpond.core.id;

/**
 * Identifier of a shift of one day, such as "2026-12-02-morning".
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record ShiftId(String value) implements Comparable<ShiftId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public ShiftId {
        Identifiers.check(value, "A shift id");
    }

    @Override
    public int compareTo(ShiftId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
