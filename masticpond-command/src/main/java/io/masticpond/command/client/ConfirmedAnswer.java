package io.masticpond.command.client;

/**
 * Response to the confirmation of a plan.
 *
 * @param plan the id of the confirmed plan
 * @param version the configuration version that the plan produced
 * @since 0.1
 */
public record ConfirmedAnswer(String plan, long version) {}
