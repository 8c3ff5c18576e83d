package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** Matcher that determines by the request id whether an answer belongs to a request. */
final class AnswerMatch {

    /** Result of matching an answer against a request. */
    enum Result {
        /** The answer belongs to this request. */
        OURS,
        /** The answer belongs to another request. */
        FOREIGN,
        /** The answer bears no request id, although it must. */
        UNKNOWN
    }

    private final ConnectionOptions mOptions;
    private final BackendRequest mRequest;

    AnswerMatch(ConnectionOptions options, BackendRequest request) {
        mOptions = options;
        mRequest = request;
    }

    boolean isForHead() {
        return mRequest.method().equals(HttpMethod.HEAD);
    }

    Result match(HttpResponse response) {
        HttpHeaders headers = response.headers();
        List<String> ids = headers.getAll(mOptions.requestIdHeader());
        if (ids.isEmpty()) {
            return mayOmitId(response) ? Result.OURS : Result.UNKNOWN;
        }
        return ids.size() == 1 && ids.get(0).equals(mRequest.requestId())
                ? Result.OURS
                : Result.FOREIGN;
    }

    /**
     * Returns whether a response is a refusal that names no request. If the server sends it a
     * second time, it cannot be told from a refusal of the next request.
     */
    boolean isAnonymousRefusal(HttpResponse response) {
        return isRefusal(response) && !response.headers().contains(mOptions.requestIdHeader());
    }

    private boolean mayOmitId(HttpResponse response) {
        return mRequest.answerMayOmitId() || isRefusal(response);
    }

    private boolean isRefusal(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)
                || response.headers().contains(mOptions.notExecutedHeader());
    }
}
