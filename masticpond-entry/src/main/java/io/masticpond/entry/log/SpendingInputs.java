package io.masticpond.entry.log;

/**
 * Inputs of the decision to refuse spending. All amounts are in millionths of the operators' unit
 * of money.
 *
 * @param shift the current shift, or "none" between shifts
 * @param state the reason for which this instance cannot charge the attempt
 * @param priceMicros the price of the attempt
 * @param capMicros the cap of the shift
 * @param allottedMicros the sum that all instances hold or have spent, as last read
 * @param heldMicros the amount that this instance holds and has not spent
 * @param spentMicros the amount that this instance has spent
 * @since 0.3
 */
public record SpendingInputs(
        String shift,
        String state,
        long priceMicros,
        long capMicros,
        long allottedMicros,
        long heldMicros,
        long spentMicros) {}
