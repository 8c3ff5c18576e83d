package io.masticpond.entry.http;

import static io.netty.handler.codec.http.HttpResponseStatus.BAD_REQUEST;
import static io.netty.handler.codec.http.HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;

/**
 * Strict parser of the request line and headers of a request. Rejects whatever two parsers could
 * interpret as two different requests (request smuggling). One parser is shared by all connections
 * of a thread.
 *
 * @since 0.2
 */
final class HeadParser {

    private static final DefaultHttpHeadersFactory FACTORY =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);
    private static final int VERSION_LENGTH = 8;
    private static final int MINOR_VERSION_INDEX = 7;
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Either<HttpResponseStatus, RequestHead> BAD = Either.left(BAD_REQUEST);

    private byte[] mBytes;
    private int mPosition;
    private HttpMethod mMethod;
    private String mTarget;
    private HttpHeaders mHeaders;
    private boolean mIsHttp10;
    private String mHost;
    private String mContentLength;
    private String mTransferEncoding;
    private boolean mHasConnectionClose;
    private boolean mHasKeepAlive;
    private boolean mExpectsContinue;

    /**
     * Parses a head.
     *
     * @param bytes the array that holds the head from index 0
     * @param length the length of the head including the empty line that ends it; every line feed
     *     in it must follow a carriage return
     * @return the head, or the status with which to reject it
     */
    Either<HttpResponseStatus, RequestHead> parse(byte[] bytes, int length) {
        mBytes = bytes;
        mPosition = 0;
        mHeaders = FACTORY.newHeaders();
        mHost = null;
        mContentLength = null;
        mTransferEncoding = null;
        mHasConnectionClose = false;
        mHasKeepAlive = false;
        mExpectsContinue = false;
        HttpResponseStatus failure = readRequestLine();
        if (failure != null) {
            return Either.left(failure);
        }
        while (mPosition < length - 2) {
            if (!readHeader()) {
                return BAD;
            }
        }
        return finish();
    }

    private HttpResponseStatus readRequestLine() {
        int begin = mPosition;
        while (HeadSyntax.isToken(mBytes[mPosition])) {
            mPosition++;
        }
        if (mPosition == begin || mBytes[mPosition] != ' ') {
            return BAD_REQUEST;
        }
        mMethod = HttpMethod.valueOf(text(begin, mPosition));
        begin = ++mPosition;
        while (HeadSyntax.isTarget(mBytes[mPosition])) {
            mPosition++;
        }
        if (mPosition == begin || mBytes[mPosition] != ' ') {
            return BAD_REQUEST;
        }
        mTarget = text(begin, mPosition);
        begin = ++mPosition;
        while (mBytes[mPosition] != '\r') {
            mPosition++;
        }
        if (mBytes[mPosition + 1] != '\n') {
            return BAD_REQUEST;
        }
        String version = text(begin, mPosition);
        mPosition += 2;
        return readVersion(version);
    }

    private HttpResponseStatus readVersion(String version) {
        if (version.length() != VERSION_LENGTH || !version.startsWith("HTTP/")) {
            return BAD_REQUEST;
        }
        char minor = version.charAt(MINOR_VERSION_INDEX);
        if (!version.startsWith(VERSION_PREFIX) || (minor != '0' && minor != '1')) {
            return HTTP_VERSION_NOT_SUPPORTED;
        }
        mIsHttp10 = minor == '0';
        return null;
    }

    private boolean readHeader() {
        int begin = mPosition;
        while (HeadSyntax.isToken(mBytes[mPosition])) {
            mPosition++;
        }
        if (mPosition == begin || mBytes[mPosition] != ':') {
            return false;
        }
        String name = text(begin, mPosition);
        begin = ++mPosition;
        while (HeadSyntax.isValue(mBytes[mPosition])) {
            mPosition++;
        }
        if (mBytes[mPosition] != '\r' || mBytes[mPosition + 1] != '\n') {
            return false;
        }
        String value = trimmedText(begin, mPosition);
        mPosition += 2;
        mHeaders.add(name, value);
        return recordFramingHeader(name, value);
    }

    /** Records the headers on which the framing depends, and rejects duplicates of them. */
    private boolean recordFramingHeader(String name, String value) {
        if (name.equalsIgnoreCase("Host")) {
            boolean isFirst = mHost == null;
            mHost = value;
            return isFirst && HeadSyntax.isHost(value);
        }
        if (name.equalsIgnoreCase("Content-Length")) {
            boolean isFirst = mContentLength == null;
            mContentLength = value;
            return isFirst;
        }
        if (name.equalsIgnoreCase("Transfer-Encoding")) {
            boolean isFirst = mTransferEncoding == null;
            mTransferEncoding = value;
            return isFirst;
        }
        if (name.equalsIgnoreCase("Connection")) {
            mHasConnectionClose |= HeadSyntax.hasToken(value, "close");
            mHasKeepAlive |= HeadSyntax.hasToken(value, "keep-alive");
        } else if (name.equalsIgnoreCase("Expect")) {
            mExpectsContinue |= value.equalsIgnoreCase("100-continue");
        }
        return true;
    }

    private Either<HttpResponseStatus, RequestHead> finish() {
        boolean isChunked = mTransferEncoding != null;
        if (isChunked
                && (mIsHttp10
                        || mContentLength != null
                        || !mTransferEncoding.equalsIgnoreCase("chunked"))) {
            return BAD;
        }
        long length = mContentLength == null ? 0 : HeadSyntax.parseLength(mContentLength);
        if (length < 0 || (mHost == null && !mIsHttp10) || !normalizeTarget()) {
            return BAD;
        }
        if (mExpectsContinue) {
            mHeaders.remove(HttpHeaderNames.EXPECT);
        }
        boolean isKeepAlive = !mHasConnectionClose && (!mIsHttp10 || mHasKeepAlive);
        boolean isContinueExpected = mExpectsContinue && !mIsHttp10 && (isChunked || length > 0);
        return Either.right(
                new RequestHead(
                        mMethod,
                        mTarget,
                        mHeaders,
                        isKeepAlive,
                        mIsHttp10,
                        isChunked,
                        length,
                        isContinueExpected));
    }

    /**
     * Validates the form of the target. A target in absolute form is split, and its host replaces
     * the {@code Host} header.
     */
    private boolean normalizeTarget() {
        if (mTarget.charAt(0) == '/') {
            return true;
        }
        if (mTarget.equals("*")) {
            return mMethod.equals(HttpMethod.OPTIONS);
        }
        int scheme = mTarget.indexOf("://");
        String name = scheme < 0 ? "" : mTarget.substring(0, scheme);
        if (!name.equalsIgnoreCase("http") && !name.equalsIgnoreCase("https")) {
            return false;
        }
        int begin = scheme + "://".length();
        int end = begin;
        while (end < mTarget.length() && mTarget.charAt(end) != '/' && mTarget.charAt(end) != '?') {
            end++;
        }
        String host = mTarget.substring(begin, end);
        String rest = mTarget.substring(end);
        mTarget = rest.startsWith("/") ? rest : "/" + rest;
        mHeaders.set(HttpHeaderNames.HOST, host);
        return !host.isEmpty() && HeadSyntax.isHost(host);
    }

    private String trimmedText(int from, int to) {
        int begin = from;
        int end = to;
        while (begin < end && (mBytes[begin] == ' ' || mBytes[begin] == '\t')) {
            begin++;
        }
        while (end > begin && (mBytes[end - 1] == ' ' || mBytes[end - 1] == '\t')) {
            end--;
        }
        return text(begin, end);
    }

    private String text(int begin, int end) {
        return new String(mBytes, begin, end - begin, StandardCharsets.ISO_8859_1);
    }
}
