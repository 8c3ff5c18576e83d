package io.masticpond.command.client;

import java.util.List;

/**
 * Spending of the current shifts, as known to one instance.
 *
 * @param spendings the spending of each service and shift
 * @since 0.1
 */
public record SpendingAnswer(List<Entry> spendings) {

    /** Replaces a {@code null} list with an empty one. */
    public SpendingAnswer {
        spendings = OperatorClient.orEmpty(spendings);
    }

    /**
     * Spending of a service in a shift. Amounts are in millionths of the unit of money.
     *
     * @param service the service
     * @param shift the shift
     * @param end the end of the shift, in ISO 8601
     * @param capMicros the spending cap
     * @param allottedMicros the amount that all instances hold or have spent
     * @param availableMicros the amount that the responding instance may still spend
     * @param spentMicros the amount that the responding instance has spent
     * @param forecastMicros the predicted spending of all instances at the end of the shift
     * @param state whether the responding instance can charge the budget
     */
    public record Entry(
            String service,
            String shift,
            String end,
            long capMicros,
            long allottedMicros,
            long availableMicros,
            long spentMicros,
            long forecastMicros,
            String state) {}
}
