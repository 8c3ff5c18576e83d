package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;

/**
 * The names of the headers that carry the system's own news, as the platform spells them.
 *
 * @param requestId names one attempt of a client; the answer echoes it
 * @param deadlineMillis how many milliseconds the client will wait
 * @param affinityKey names the object that a request is about
 * @param seal the backend server's proof that an answer is its own
 * @param expectedServer the id of the only backend server that may run a request
 * @param serverLoad running requests, waiting requests and slots of a backend server
 * @param serverLimit how many requests a second a backend server takes from all instances
 * @param serverLeaving says that a backend server leaves
 * @param notExecuted says that the backend server did not run the request
 * @param retryAfter after how many seconds a client may come back, or an instance may send to a
 *     backend server again
 * @param credential carries a client's key and nothing else; never leaves the instance
 * @param workspace tells a backend server whose request it is; never taken from a client
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
        String notExecuted,
        String retryAfter,
        String credential,
        String workspace) {

    /** Checks that all names are given. */
    public HeaderNames {
        Assert.hasText(requestId, "The header of the request id");
        Assert.hasText(deadlineMillis, "The header of the deadline");
        Assert.hasText(affinityKey, "The header of the affinity key");
        Assert.hasText(seal, "The header of the seal");
        Assert.hasText(expectedServer, "The header of the expected server");
        Assert.hasText(serverLoad, "The header of the server's load");
        Assert.hasText(serverLimit, "The header of the server's limit");
        Assert.hasText(serverLeaving, "The header of the server's leaving");
        Assert.hasText(notExecuted, "The header of what was not executed");
        Assert.hasText(retryAfter, "The header of the time to come back");
        Assert.hasText(credential, "The header of the credential");
        Assert.hasText(workspace, "The header of the workspace");
    }
}
