package io.masticpond.core.id;

/**
 * Identifier of a plan that an operator may confirm.
 *
 * @param value the text, at most 64 letters, digits, dots, underscores and hyphens
 * @since 0.1
 */
public record PlanId(String value) implements Comparable<PlanId> {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is not an identifier
     */
    public PlanId {
        Identifiers.check(value, "A plan id");
    }

    @Override
    public int compareTo(PlanId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
