package io.masticpond.entry.log;

/**
 * What a refusal to spend rests on; amounts are in millionths of the operators' unit of money.
 *
 * @param shift the shift that runs, or "none" between shifts
 * @param state what keeps this instance from paying
 * @param priceMicros the price of the attempt
 * @param capMicros the cap of the shift
 * @param allottedMicros what all instances hold or have spent, as last read
 * @param heldMicros what this instance holds and has not spent
 * @param spentMicros what this instance has spent
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
