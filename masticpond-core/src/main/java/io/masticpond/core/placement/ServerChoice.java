package io.masticpond.core.placement;

/**
 * Chosen backend server with its score.
 *
 * @param load the server and its load
 * @param score the negated sum of the penalties of its rank and load; the server with the highest
 *     score is chosen
 * @since 0.2
 */
public record ServerChoice(ServerLoad load, double score) {}
