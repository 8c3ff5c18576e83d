package io.masticpond.entry.log;

import io.masticpond.core.id.WorkspaceId;

/**
 * Workspace that sent a request, and the inputs of the decision to admit or refuse it.
 *
 * @param workspace the workspace that the key opens, or null if the key opens none
 * @param proofAgeNanos age of the newest proof that the keys are current, in nanoseconds, or {@link
 *     RequestRecord#UNKNOWN}
 * @param isLimited whether the workspace has a rate limit
 * @param rateCredit the number of requests that the whole fleet may admit at once, as this instance
 *     estimates it
 * @param rateDemand the requests per second that arrive at the whole fleet, as far as this instance
 *     knows
 * @since 0.2
 */
public record CallerInputs(
        WorkspaceId workspace,
        long proofAgeNanos,
        boolean isLimited,
        double rateCredit,
        double rateDemand) {}
