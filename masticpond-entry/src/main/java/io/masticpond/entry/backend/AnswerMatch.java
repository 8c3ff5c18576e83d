package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** Tells by its id whether an answer belongs to a request. */
final class AnswerMatch {

    /** Whose an answer is. */
    enum Result {
        /** It answers this request. */
        MATCHING,
        /** It answers another request. */
        MISMATCHED,
        /** It does not say. */
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

    Result of(HttpResponse response) {
        HttpHeaders headers = response.headers();
        List<String> ids = headers.getAll(mOptions.requestIdHeader());
        if (ids.isEmpty()) {
            return mayOmitId(response) ? Result.MATCHING : Result.UNKNOWN;
        }
        return ids.size() == 1 && ids.get(0).equals(mRequest.requestId())
                ? Result.MATCHING
                : Result.MISMATCHED;
    }

    private boolean mayOmitId(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)
                || response.headers().contains(mOptions.notExecutedHeader());
    }
}
