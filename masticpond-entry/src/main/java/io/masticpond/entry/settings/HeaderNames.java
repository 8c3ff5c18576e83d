package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;

/**
 * Names of the headers that carry the system's own information, as the platform spells them.
 *
 * @param requestId identifies one attempt of a client; the answer echoes it
 * @param deadlineMillis the number of milliseconds that the client will wait
 * @param affinityKey identifies the object that a request is about
 * @param seal the backend server's proof that an answer is its own
 * @param expectedServer the id of the only backend server that may run a request
 * @param serverLoad the running requests, waiting requests and slots of a backend server
 * @param serverLimit the number of requests per second that a backend server accepts from all
 *     instances
 * @param serverLeaving states that a backend server is leaving
 * @param serverColdMillis the number of milliseconds for which a backend server is cold, in answers
 *     to health checks
 * @param notExecuted states that the backend server did not run the request
 * @param retryAfter the number of seconds after which a client may retry, or an instance may send
 *     to a backend server again
 * @param credential carries a client's key and nothing else; never leaves the instance
 * @param workspace identifies to a backend server the workspace of a request; never accepted from a
 *     client
 * @since 0.2
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String affinityKey,
        String seal,
        String expectedServer,
        String serverLoad,
        String serverLimit,
        String serverLeaving,
        String serverColdMillis,
        String notExecuted,
        String retryAfter,
        String credential,
        String workspace) {

    /** Validates that all names are given. */
    public HeaderNames {
        Assert.hasText(requestId, "The header of the request id");
        Assert.hasText(deadlineMillis, "The header of the deadline");
        Assert.hasText(affinityKey, "The header of the affinity key");
        Assert.hasText(seal, "The header of the seal");
        Assert.hasText(expectedServer, "The header of the expected server");
        Assert.hasText(serverLoad, "The header of the server's load");
        Assert.hasText(serverLimit, "The header of the server's limit");
        Assert.hasText(serverLeaving, "The header of the server's leaving");
        Assert.hasText(serverColdMillis, "The header of the server's cold time");
        Assert.hasText(notExecuted, "The header of what was not executed");
        Assert.hasText(retryAfter, "The header of the retry delay");
        Assert.hasText(credential, "The header of the credential");
        Assert.hasText(workspace, "The header of the workspace");
    }
}
