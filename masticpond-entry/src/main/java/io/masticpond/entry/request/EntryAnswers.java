package io.masticpond.entry.request;

import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Factory of the answers that this instance itself gives, each with a sentence that says what
 * happened.
 *
 * @since 0.2
 */
final class EntryAnswers {

    private static final long MILLIS_PER_SECOND = 1000;

    private final HeaderNames mNames;

    EntryAnswers(HeaderNames names) {
        mNames = names;
    }

    /** Creates an answer with a status and a sentence. */
    OutgoingAnswer plain(int status, String requestId, String sentence) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        if (requestId != null) {
            headers.set(mNames.requestId(), requestId);
        }
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        ByteBuf body = Unpooled.wrappedBuffer((sentence + "\n").getBytes(StandardCharsets.UTF_8));
        return new OutgoingAnswer(status, headers, body);
    }

    /** Creates a refusal with a {@code Retry-After} header. */
    OutgoingAnswer refusal(int status, String requestId, String sentence, Duration retryDelay) {
        OutgoingAnswer answer = plain(status, requestId, sentence);
        answer.headers().set(mNames.retryAfter(), seconds(retryDelay));
        return answer;
    }

    /**
     * Formats a duration in seconds with three decimal places. A {@link java.util.Formatter} would
     * cost more than the rest of the answer.
     */
    static String seconds(Duration duration) {
        long millis = Math.max(0, duration.toMillis());
        String fraction =
                Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND).substring(1);
        return millis / MILLIS_PER_SECOND + "." + fraction;
    }
}
