package io.masticpond.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

/**
 * Encoder for the heads of answers. One encoder is shared by all connections of a thread.
 *
 * @since 0.2
 */
final class AnswerEncoder {

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int INITIAL_CAPACITY = 512;
    private static final String LINE_END = "\r\n";

    private final StringBuilder mText = new StringBuilder(INITIAL_CAPACITY);

    /**
     * Returns whether an answer has a body: not to HEAD, and not with the status codes 204 and 304.
     */
    static boolean hasBody(int status, boolean isHeadMethod) {
        return !isHeadMethod && status != NO_CONTENT && status != NOT_MODIFIED;
    }

    /**
     * Writes the status line and headers.
     *
     * @param allocator the allocator of the buffer
     * @param answer the answer
     * @param isHeadMethod whether the request's method was HEAD
     * @param connection the value of the {@code Connection} header, or {@code null} for none
     * @param extraCapacity the number of body bytes for which the buffer must have room
     * @return the head
     */
    ByteBuf encode(
            ByteBufAllocator allocator,
            OutgoingAnswer answer,
            boolean isHeadMethod,
            String connection,
            int extraCapacity) {
        int status = answer.status();
        mText.setLength(0);
        mText.append("HTTP/1.1 ").append(status).append(' ');
        mText.append(HttpResponseStatus.valueOf(status).reasonPhrase()).append(LINE_END);
        appendHeaders(answer.headers());
        appendLength(answer, isHeadMethod);
        if (connection != null) {
            mText.append("Connection: ").append(connection).append(LINE_END);
        }
        mText.append(LINE_END);
        byte[] bytes = mText.toString().getBytes(StandardCharsets.ISO_8859_1);
        return allocator.buffer(bytes.length + extraCapacity).writeBytes(bytes);
    }

    private void appendHeaders(HttpHeaders headers) {
        String connectionTokens =
                headers.contains(HttpHeaderNames.CONNECTION)
                        ? String.join(",", headers.getAll(HttpHeaderNames.CONNECTION))
                        : null;
        Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence();
        while (all.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = all.next();
            String name = header.getKey().toString();
            if (isSetByServer(name)
                    || (connectionTokens != null && HeadSyntax.hasToken(connectionTokens, name))) {
                continue;
            }
            append(name, header.getValue().toString());
        }
    }

    private void append(String name, String value) {
        if (value.indexOf('\r') >= 0 || value.indexOf('\n') >= 0) {
            return;
        }
        mText.append(name).append(": ").append(value).append(LINE_END);
    }

    private void appendLength(OutgoingAnswer answer, boolean isHeadMethod) {
        int length = answer.body().readableBytes();
        if (hasBody(answer.status(), isHeadMethod) || (isHeadMethod && length > 0)) {
            mText.append("Content-Length: ").append(length).append(LINE_END);
            return;
        }
        String contentLength = answer.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (contentLength != null && answer.status() != NO_CONTENT) {
            append("Content-Length", contentLength);
        }
    }

    private static boolean isSetByServer(String name) {
        return switch (name.length()) {
            case 2 -> name.equalsIgnoreCase("TE");
            case 7 -> name.equalsIgnoreCase("Trailer") || name.equalsIgnoreCase("Upgrade");
            case 10 -> name.equalsIgnoreCase("Connection") || name.equalsIgnoreCase("Keep-Alive");
            case 14 -> name.equalsIgnoreCase("Content-Length");
            case 16 -> name.equalsIgnoreCase("Proxy-Connection");
            case 17 -> name.equalsIgnoreCase("Transfer-Encoding");
            default -> false;
        };
    }
}
