package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Iterator;
import java.util.Map;

/** Writer of the request line and the headers of a request. */
final class RequestHeadWriter {

    private static final int INITIAL_CAPACITY = 512;
    private static final int CARRIAGE_RETURN_LINE_FEED = ('\r' << Byte.SIZE) | '\n';
    private static final int COLON_SPACE = (':' << Byte.SIZE) | ' ';
    private static final char DELETE = 0x7F;

    private RequestHeadWriter() {}

    /**
     * Verifies that no part of a request can end its line or start another request (request
     * smuggling).
     */
    static void check(BackendRequest request) {
        checkTarget(request.target());
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                request.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            checkValue(header.getKey());
            checkValue(header.getValue());
        }
    }

    /** Writes the head of a request that has passed {@link #check}. */
    static ByteBuf write(ByteBufAllocator allocator, BackendRequest request) {
        ByteBuf head = allocator.buffer(INITIAL_CAPACITY);
        appendAscii(head, request.method().name());
        head.writeByte(' ');
        appendAscii(head, request.target());
        appendAscii(head, " HTTP/1.1");
        head.writeShort(CARRIAGE_RETURN_LINE_FEED);
        writeHeaders(head, request);
        head.writeShort(CARRIAGE_RETURN_LINE_FEED);
        return head;
    }

    private static void writeHeaders(ByteBuf head, BackendRequest request) {
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                request.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            if (!isFraming(header.getKey())) {
                writeHeader(head, header.getKey(), header.getValue());
            }
        }
        int length = request.body().readableBytes();
        if (length > 0 || hasLengthByDefault(request.method())) {
            writeHeader(head, HttpHeaderNames.CONTENT_LENGTH, Integer.toString(length));
        }
    }

    private static void writeHeader(ByteBuf head, CharSequence name, CharSequence value) {
        appendAscii(head, name);
        head.writeShort(COLON_SPACE);
        appendAscii(head, value);
        head.writeShort(CARRIAGE_RETURN_LINE_FEED);
    }

    private static boolean isFraming(CharSequence name) {
        return HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
                || HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name);
    }

    private static boolean hasLengthByDefault(HttpMethod method) {
        return method.equals(HttpMethod.POST)
                || method.equals(HttpMethod.PUT)
                || method.equals(HttpMethod.PATCH);
    }

    private static void checkTarget(String target) {
        Assert.hasText(target, "A target");
        for (int index = 0; index < target.length(); index++) {
            char each = target.charAt(index);
            Assert.isTrue(
                    each > ' ' && each != DELETE,
                    "A target must have no space or control character, but has one at %d.",
                    index);
        }
    }

    private static void checkValue(CharSequence text) {
        for (int index = 0; index < text.length(); index++) {
            char each = text.charAt(index);
            Assert.isTrue(
                    each != '\r' && each != '\n' && each != 0,
                    "A header must stay on its line, but breaks it at %d.",
                    index);
        }
    }

    private static void appendAscii(ByteBuf head, CharSequence text) {
        ByteBufUtil.writeAscii(head, text);
    }
}
