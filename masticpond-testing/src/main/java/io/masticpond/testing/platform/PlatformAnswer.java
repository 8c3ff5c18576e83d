package io.masticpond.testing.platform;

import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Response of the object API that has not been sent yet. */
@SuppressWarnings("ArrayRecordComponent")
record PlatformAnswer(HttpStatus status, Optional<Long> version, String contentType, byte[] body) {

    static final String RETRY_AFTER_SECONDS = "1";

    private static final String BINARY = "application/octet-stream";
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final byte[] EMPTY = {};

    static PlatformAnswer object(PlatformObject object) {
        return object(HttpStatus.OK, object);
    }

    static PlatformAnswer found(Optional<PlatformObject> object) {
        return object.map(PlatformAnswer::object)
                .orElseGet(() -> problem(HttpStatus.NOT_FOUND, "There is no such object."));
    }

    static PlatformAnswer empty(HttpStatus status) {
        return new PlatformAnswer(status, Optional.empty(), BINARY, EMPTY);
    }

    static PlatformAnswer json(byte[] body) {
        return new PlatformAnswer(HttpStatus.OK, Optional.empty(), JSON, body);
    }

    static PlatformAnswer problem(HttpStatus status, String sentence) {
        String body =
                "{\"status\":%d,\"title\":\"%s\"}"
                        .formatted(status.getCode(), sentence.replace('"', '\''));
        return new PlatformAnswer(
                status, Optional.empty(), PROBLEM, body.getBytes(StandardCharsets.UTF_8));
    }

    static PlatformAnswer malformed() {
        byte[] body = "<html>not an object".getBytes(StandardCharsets.UTF_8);
        return new PlatformAnswer(HttpStatus.OK, Optional.empty(), "text/html", body);
    }

    static PlatformAnswer of(WriteResult result, HttpStatus changed) {
        if (result.changed()) {
            return new PlatformAnswer(changed, Optional.of(result.version()), BINARY, EMPTY);
        }
        return result.current()
                .map(current -> object(HttpStatus.PRECONDITION_FAILED, current))
                .orElseGet(() -> empty(HttpStatus.PRECONDITION_FAILED));
    }

    void send(Context context) {
        context.status(status).contentType(contentType).result(body);
        version.ifPresent(each -> context.header("ETag", "\"" + each + "\""));
        if (status == HttpStatus.SERVICE_UNAVAILABLE) {
            context.header("Retry-After", RETRY_AFTER_SECONDS);
        }
    }

    private static PlatformAnswer object(HttpStatus status, PlatformObject object) {
        return new PlatformAnswer(status, Optional.of(object.version()), BINARY, object.value());
    }
}
