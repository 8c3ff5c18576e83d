package io.masticpond.command.client;

import java.util.List;
import java.util.OptionalLong;

/**
 * Plan with the changes it would make and their predicted effects.
 *
 * @param id the id of the plan
 * @param base the configuration version that the plan is based on
 * @param differences the changes that the plan would make
 * @param loads the predicted load
 * @param spendings the predicted spending
 * @param warnings the warnings to consider before confirming, one sentence each
 * @param operator the operator who created the plan
 * @param expires the time until which the plan can be confirmed, in ISO 8601
 * @since 0.1
 */
public record PlanAnswer(
        String id,
        long base,
        List<Difference> differences,
        List<Load> loads,
        List<Spending> spendings,
        List<String> warnings,
        String operator,
        String expires) {

    /** Replaces {@code null} lists with empty ones. */
    public PlanAnswer {
        differences = OperatorClient.orEmpty(differences);
        loads = OperatorClient.orEmpty(loads);
        spendings = OperatorClient.orEmpty(spendings);
        warnings = OperatorClient.orEmpty(warnings);
    }

    /** Kind of change at a path of the configuration. */
    public enum Kind {
        /** The path did not exist before. */
        ADDED,
        /** The path no longer exists. */
        REMOVED,
        /** The value was replaced by another. */
        CHANGED
    }

    /**
     * Difference at one path of the configuration.
     *
     * @param path the path in the configuration
     * @param kind the kind of change
     * @param before the value before, or an empty string if there was none
     * @param after the value after, or an empty string if there is none
     */
    public record Difference(String path, Kind kind, String before, String after) {}

    /**
     * Predicted load of a service in a region.
     *
     * @param service the service
     * @param region the region
     * @param slots the number of usable slots
     * @param slotsInUse the predicted number of slots in use
     * @param observed whether the prediction is based on observed load rather than an assumption
     */
    public record Load(
            String service, String region, long slots, double slotsInUse, boolean observed) {}

    /**
     * Predicted spending of a service in a shift. Amounts are in millionths of the unit of money.
     *
     * @param service the service
     * @param shift the shift
     * @param capMicros the spending cap
     * @param expectedMicros the expected spending, if known
     * @param allottedMicros the amount that instances hold or have spent, if known
     */
    public record Spending(
            String service,
            String shift,
            long capMicros,
            OptionalLong expectedMicros,
            OptionalLong allottedMicros) {

        /** Replaces {@code null} amounts with empty ones. */
        public Spending {
            expectedMicros = expectedMicros == null ? OptionalLong.empty() : expectedMicros;
            allottedMicros = allottedMicros == null ? OptionalLong.empty() : allottedMicros;
        }
    }
}
