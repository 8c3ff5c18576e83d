package io.masticpond.daemon.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.daemon.platform.TransportResult.Answered;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decoder of answers of the platform, which rejects answers that violate its API.
 *
 * <p>An answer that cannot be decoded is treated like a lost one.
 */
final class AnswerReader {

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MINIMUM_CLIENT_ERROR = 400;
    private static final int MINIMUM_SERVER_ERROR = 500;
    private static final String PROBLEM = "application/problem+json";
    private static final Pattern ENTITY_TAG = Pattern.compile("\"([1-9][0-9]{0,17})\"");
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private AnswerReader() {}

    static Either<PlatformError, Optional<StoredObject>> read(ObjectKey key, Answered answer) {
        if (answer.status() == OK) {
            return object(key, answer, ObjectStore.ABSENT, PlatformCallKind.READ);
        }
        if (answer.status() == NOT_FOUND && isProblem(answer)) {
            return Either.right(Optional.empty());
        }
        return Either.left(error(PlatformCallKind.READ, answer));
    }

    static Either<PlatformError, Optional<StoredObject>> watch(
            ObjectKey key, long afterVersion, Answered answer) {
        if (answer.status() == OK) {
            return object(key, answer, afterVersion, PlatformCallKind.WATCH);
        }
        if (answer.status() == NO_CONTENT) {
            return Either.right(Optional.empty());
        }
        return Either.left(error(PlatformCallKind.WATCH, answer));
    }

    static Either<PlatformError, Long> write(ObjectKey key, long expectedVersion, Answered answer) {
        if (answer.status() == PRECONDITION_FAILED) {
            return Either.left(conflict(key, expectedVersion, answer));
        }
        if (answer.status() != OK && answer.status() != CREATED) {
            return Either.left(error(PlatformCallKind.WRITE, answer));
        }
        Optional<Long> version = version(answer).filter(each -> each > expectedVersion);
        return version.<Either<PlatformError, Long>>map(Either::right)
                .orElseGet(() -> Either.left(malformed(PlatformCallKind.WRITE, "version")));
    }

    static Either<PlatformError, Void> delete(
            ObjectKey key, long expectedVersion, Answered answer) {
        if (answer.status() == NO_CONTENT) {
            return Either.right(null);
        }
        if (answer.status() == PRECONDITION_FAILED) {
            return Either.left(conflict(key, expectedVersion, answer));
        }
        return Either.left(error(PlatformCallKind.DELETE, answer));
    }

    /**
     * Decodes a page of names, which must be in ascending order and follow the last name of the
     * previous page.
     */
    static Either<PlatformError, List<String>> names(String prefix, String after, Answered answer) {
        if (answer.status() != OK) {
            return Either.left(error(PlatformCallKind.LIST, answer));
        }
        try {
            List<String> names = MAPPER.readValue(answer.body(), Names.class).names();
            String previous = after;
            for (String name : names) {
                if (name.compareTo(previous) <= 0 || !name.startsWith(prefix)) {
                    return Either.left(malformed(PlatformCallKind.LIST, "order"));
                }
                previous = name;
            }
            return Either.right(names);
        } catch (IOException | RuntimeException e) {
            return Either.left(malformed(PlatformCallKind.LIST, "list of names"));
        }
    }

    static Either<PlatformError, List<ListedInstance>> instances(Answered answer) {
        if (answer.status() != OK) {
            return Either.left(error(PlatformCallKind.INSTANCES, answer));
        }
        try {
            return Either.right(
                    MAPPER.readValue(answer.body(), Instances.class).instances().stream()
                            .map(InstanceEntry::toListedInstance)
                            .toList());
        } catch (IOException | RuntimeException e) {
            return Either.left(malformed(PlatformCallKind.INSTANCES, "list of instances"));
        }
    }

    private static Either<PlatformError, Optional<StoredObject>> object(
            ObjectKey key, Answered answer, long afterVersion, PlatformCallKind kind) {
        Optional<Long> version = version(answer).filter(each -> each > afterVersion);
        if (version.isEmpty()) {
            return Either.left(malformed(kind, "version"));
        }
        return Either.right(Optional.of(new StoredObject(key, version.get(), answer.body())));
    }

    private static PlatformError conflict(ObjectKey key, long expectedVersion, Answered answer) {
        return new PlatformError.Conflict(
                version(answer)
                        .filter(version -> version != expectedVersion)
                        .map(version -> new StoredObject(key, version, answer.body())));
    }

    /** Returns the error for a status that is not a regular result of the call. */
    private static PlatformError error(PlatformCallKind kind, Answered answer) {
        String message = "The platform answered with status " + answer.status() + ".";
        int status = answer.status();
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            return new PlatformError.Away(message);
        }
        boolean clientError = status >= MINIMUM_CLIENT_ERROR && status < MINIMUM_SERVER_ERROR;
        if (clientError && status != NOT_FOUND && status != REQUEST_TIMEOUT) {
            return new PlatformError.Rejected(message);
        }
        return kind.lostAnswerError(message);
    }

    private static PlatformError malformed(PlatformCallKind kind, String part) {
        return kind.lostAnswerError("The answer of the platform has no proper " + part + ".");
    }

    private static Optional<Long> version(Answered answer) {
        return answer.entityTag()
                .map(ENTITY_TAG::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.valueOf(matcher.group(1)));
    }

    private static boolean isProblem(Answered answer) {
        return answer.contentType().filter(type -> type.startsWith(PROBLEM)).isPresent();
    }

    /** Page of names. */
    private record Names(List<String> names) {}

    /** List of instances. */
    private record Instances(List<InstanceEntry> instances) {}

    /** Entry of the list of instances. */
    private record InstanceEntry(String id, String zone, String linkAddress, boolean leaving) {

        ListedInstance toListedInstance() {
            return new ListedInstance(new InstanceId(id), new ZoneId(zone), linkAddress, leaving);
        }
    }
}
