package io.masticpond.daemon.http;

import okhttp3.Response;

/**
 * Utility method on the framing of responses.
 *
 * @since 0.2
 */
public final class ResponseFraming {

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private ResponseFraming() {}

    /**
     * Returns whether a response states where its body ends. One that ends with its connection may
     * have been cut: after a failed write, the end of the stream does not prove an orderly close.
     *
     * @param response the response
     * @return whether it has a length, chunks or no body
     */
    public static boolean hasKnownEnd(Response response) {
        // The client removes the length of a response that it decompresses.
        Response received =
                response.networkResponse() == null ? response : response.networkResponse();
        return received.request().method().equals("HEAD")
                || received.code() == NO_CONTENT
                || received.code() == NOT_MODIFIED
                || received.header("Content-Length") != null
                || "chunked".equalsIgnoreCase(received.header("Transfer-Encoding"));
    }
}
