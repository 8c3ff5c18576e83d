package io.masticpond.core.placement;

import io.masticpond.core.speed.ExpectedLatency;
import java.util.Optional;

/**
 * Chosen backend server with its score.
 *
 * @param load the server and its load
 * @param score the score by which servers are compared; the server with the highest is chosen
 * @param rank the rank of the server among the homes of the key, from 0
 * @param expected the expected latency, or empty if the score is not based on it
 * @since 0.2
 */
public record ServerChoice(
        ServerLoad load, double score, int rank, Optional<ExpectedLatency> expected) {}
