package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.entry.http.IncomingRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Makes the fingerprints of requests: of method, host, target, the credentials of the caller and
 * the body, in that order. What names an attempt, such as its id and its deadline, is not among
 * them. Traffic thread only.
 */
final class Fingerprints {

    private static final byte BETWEEN = 0;

    private MessageDigest mDigest;

    /** Makes the fingerprint of a request, about 2 microseconds for each kilobyte of its body. */
    RequestFingerprint of(IncomingRequest request) {
        MessageDigest digest = digest();
        add(digest, request.method().name());
        add(digest, request.headers().get(HttpHeaderNames.HOST));
        add(digest, request.target());
        add(digest, request.headers().get(HttpHeaderNames.AUTHORIZATION));
        for (ByteBuffer part : request.body().nioBuffers()) {
            digest.update(part);
        }
        ByteBuffer hash = ByteBuffer.wrap(digest.digest());
        return new RequestFingerprint(hash.getLong(), hash.getLong());
    }

    private static void add(MessageDigest digest, String text) {
        if (text != null) {
            digest.update(text.getBytes(StandardCharsets.UTF_8));
        }
        digest.update(BETWEEN);
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
