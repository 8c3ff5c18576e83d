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
 * Factory of the fingerprints of requests. A fingerprint is computed from method, host, target, the
 * credentials of the caller and the body, in that order. What belongs to a single attempt, such as
 * its id and deadline, is not included. For use on the traffic thread only.
 */
final class Fingerprints {

    private static final byte[] EMPTY = {};

    private MessageDigest mDigest;

    /**
     * Computes the fingerprint of a request. Takes 4 us, plus 30 us for each kilobyte of its body.
     */
    RequestFingerprint of(IncomingRequest request) {
        MessageDigest digest = digest();
        feed(request, digest::update);
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return RequestFingerprint.of(hash.getLong(), hash.getInt(), checksum(request));
    }

    /** Computes only the checksum, at a hundredth of the cost of the fingerprint. */
    int checksum(IncomingRequest request) {
        CRC32C checksum = new CRC32C();
        feed(request, checksum::update);
        return (int) checksum.getValue();
    }

    private static void feed(IncomingRequest request, Consumer<ByteBuffer> sink) {
        feed(request.method().name(), sink);
        feed(request.headers().get(HttpHeaderNames.HOST), sink);
        feed(request.target(), sink);
        feed(request.headers().get(HttpHeaderNames.AUTHORIZATION), sink);
        for (ByteBuffer part : request.body().nioBuffers()) {
            sink.accept(part);
        }
    }

    /** Feeds a string and a zero byte as separator, which no string of a request contains. */
    private static void feed(String text, Consumer<ByteBuffer> sink) {
        byte[] bytes = text == null ? EMPTY : text.getBytes(StandardCharsets.UTF_8);
        sink.accept(ByteBuffer.wrap(Arrays.copyOf(bytes, bytes.length + 1)));
    }

    /**
     * Returns the digest. It is created at the first use, which few processes reach, so that it
     * does not delay the start.
     */
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
