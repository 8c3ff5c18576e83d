package io.masticpond.testing.platform;

import io.javalin.http.BadRequestResponse;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import io.javalin.http.HttpStatus;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parser and validator of the parts of a call to the object API. */
final class PlatformRequest {

    static final int MAXIMUM_NAMES = 1_000;

    private static final long MAXIMUM_WATCH_MILLIS = 60_000;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,255}");
    private static final Pattern ENTITY_TAG = Pattern.compile("\"([1-9][0-9]{0,17})\"");

    private final Context mContext;

    PlatformRequest(Context context) {
        mContext = context;
    }

    String kind() {
        return segment("kind");
    }

    String name() {
        return segment("name");
    }

    String text(String parameter) {
        String value = mContext.queryParam(parameter);
        return value == null ? "" : value;
    }

    boolean watches() {
        return "true".equals(mContext.queryParam("watch"));
    }

    long after() {
        return number("after", Long.MAX_VALUE);
    }

    long timeoutMillis() {
        return number("timeoutMillis", MAXIMUM_WATCH_MILLIS);
    }

    long expectedVersion() {
        String match = mContext.header("If-Match");
        String noneMatch = mContext.header("If-None-Match");
        if (match == null && "*".equals(noneMatch)) {
            return PlatformState.ABSENT;
        }
        if (match == null || noneMatch != null) {
            throw new HttpResponseException(
                    HttpStatus.PRECONDITION_REQUIRED.getCode(),
                    "Send If-Match with a version, or If-None-Match: *.");
        }
        Matcher matcher = ENTITY_TAG.matcher(match);
        if (!matcher.matches()) {
            throw new BadRequestResponse("If-Match must be one version in quotes.");
        }
        return Long.parseLong(matcher.group(1));
    }

    byte[] value() {
        byte[] value = mContext.bodyAsBytes();
        if (value.length > PlatformState.MAXIMUM_VALUE_BYTES) {
            throw new HttpResponseException(
                    HttpStatus.CONTENT_TOO_LARGE.getCode(), "A value has at most a megabyte.");
        }
        return value;
    }

    private String segment(String parameter) {
        String value = mContext.pathParam(parameter);
        if (!NAME.matcher(value).matches()) {
            throw new BadRequestResponse("A kind or name has characters that are not allowed.");
        }
        return value;
    }

    private long number(String parameter, long maximum) {
        String value = mContext.queryParam(parameter);
        try {
            long number = value == null ? 0 : Long.parseLong(value);
            if (number >= 0 && number <= maximum) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new BadRequestResponse(parameter + " must be a whole number.");
        }
        throw new BadRequestResponse(parameter + " must be from 0 to " + maximum + ".");
    }
}
