package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.entry.http.IncomingRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Makes the fingerprints of requests: of method, host, target, the credentials of the caller and
 * the body, in that order. What names an attempt, such as its id and its deadline, is not among
 * them. Traffic thread only.
 */
final class Fingerprints {

    private static final byte[] NOTHING = {};

    private MessageDigest mDigest;

    /** Makes the fingerprint of a request: 4 us, and 30 for each kilobyte of its body. */
    RequestFingerprint of(IncomingRequest request) {
        MessageDigest digest = digest();
        feed(request, digest::update);
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return RequestFingerprint.of(hash.getLong(), hash.getInt(), checksum(request));
    }

    /** Makes the checksum alone, a hundredth of the cost. */
    int checksum(IncomingRequest request) {
        CRC32C checksum = new CRC32C();
        feed(request, checksum::update);
        return (int) checksum.getValue();
    }

    private static void feed(IncomingRequest request, Consumer<ByteBuffer> taker) {
        feed(request.method().name(), taker);
        feed(request.headers().get(HttpHeaderNames.HOST), taker);
        feed(request.target(), taker);
        feed(request.headers().get(HttpHeaderNames.AUTHORIZATION), taker);
        for (ByteBuffer part : request.body().nioBuffers()) {
            taker.accept(part);
        }
    }

    /** Feeds a text and a zero byte, which no text of a request holds. */
    private static void feed(String text, Consumer<ByteBuffer> taker) {
        byte[] bytes = text == null ? NOTHING : text.getBytes(StandardCharsets.UTF_8);
        taker.accept(ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length + 1)));
    }

    /** Made at the first use, which few processes come to: a start must not wait for it. */
    private MessageDigest digest() {
        if (mDigest == null) {
            try {
                mDigest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException exception) {
                throw new IllegalStateException("Each Java platform has SHA-256.", exception);
            }
        }
        return mDigest;
    }
}
