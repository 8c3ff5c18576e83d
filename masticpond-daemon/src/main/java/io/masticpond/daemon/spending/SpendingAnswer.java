package io.masticpond.daemon.spending;

import io.masticpond.core.spending.SpendingView;
import java.time.Instant;
import java.util.List;

/**
 * Response to an operator's query for the spending of the current shifts.
 *
 * @param spendings an entry for each service and shift
 * @since 0.1
 */
public record SpendingAnswer(List<Entry> spendings) {

    /** Copies the list. */
    public SpendingAnswer {
        spendings = List.copyOf(spendings);
    }

    /**
     * Creates the answer from the accounts of this instance.
     *
     * @param views the accounts of this instance
     * @param now the current time
     * @return the answer, with an entry for each current shift
     */
    public static SpendingAnswer of(List<SpendingView> views, Instant now) {
        return new SpendingAnswer(
                views.stream()
                        .filter(view -> view.shift().contains(now))
                        .map(view -> Entry.of(view, now))
                        .toList());
    }

    /**
     * Spending of one service in one shift. Amounts are in millionths of the currency unit.
     *
     * @param service the service
     * @param shift the shift
     * @param end the end of the shift, in ISO 8601
     * @param capMicros the spending cap
     * @param allottedMicros the amount that all instances hold or have spent
     * @param availableMicros the amount that this instance may still spend
     * @param spentMicros the amount that this instance has spent
     * @param forecastMicros the amount that all instances are expected to have spent at the end
     * @param state the state of this instance's account, that is, whether it can charge requests
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
            String state) {

        static Entry of(SpendingView view, Instant now) {
            return new Entry(
                    view.key().service().value(),
                    view.key().shift().value(),
                    view.shift().end().toString(),
                    view.capMicros(),
                    view.allottedMicros(),
                    view.availableMicros(),
                    view.spentMicros(),
                    view.fleetForecast(now).predictedMicros(),
                    view.state().text());
        }
    }
}
