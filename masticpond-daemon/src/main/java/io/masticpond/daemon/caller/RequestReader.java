package io.masticpond.daemon.caller;

import io.javalin.http.Context;
import io.masticpond.core.configuration.OperationSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.header.HeaderNames;
import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.SteeredRequest;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reader of the requests of callers, which rejects malformed requests.
 *
 * @since 0.1
 */
final class RequestReader {

    /** The path prefix of every request to a service. */
    static final String SERVICES_PATH = "/v1/services/";

    private static final long MAXIMUM_DEADLINE_MILLIS = 600_000;
    private static final int MAXIMUM_KEY_LENGTH = 255;

    private final TimeSource mTimeSource;

    RequestReader(TimeSource timeSource) {
        mTimeSource = timeSource;
    }

    /**
     * Reads a request.
     *
     * @param context the exchange
     * @param id the id of the request
     * @param service the specification of the service
     * @return the request, or the refusal that names the error
     */
    Either<Refusal, SteeredRequest> read(
            Context context, RequestId id, ServiceSpecification service) {
        Either<Refusal, Long> deadline = deadlineMillis(context, service);
        if (deadline.isLeft()) {
            return Either.left(deadline.getLeft());
        }
        String method = context.req().getMethod();
        String path = path(context, service.id());
        Optional<OperationSpecification> operation = service.operation(method, withoutQuery(path));
        RequestHead head =
                new RequestHead(
                        id,
                        service.id(),
                        mTimeSource.monotonicNanos()
                                + TimeUnit.MILLISECONDS.toNanos(deadline.get()),
                        operation.map(OperationSpecification::priority).orElse(0),
                        operation.map(OperationSpecification::kind).orElse(OperationKind.UNKNOWN));
        return Either.right(
                new SteeredRequest(
                        head,
                        operation.map(OperationSpecification::name),
                        method,
                        path,
                        headers(context),
                        context.bodyAsBytes(),
                        Optional.empty()));
    }

    /**
     * Reads the operation keys of a request.
     *
     * @param context the exchange
     * @return the keys, or the refusal that names the error
     */
    Either<Refusal, CallerService.OperationKeys> keys(Context context) {
        Optional<String> operationKey =
                Optional.ofNullable(context.header(HeaderNames.OPERATION_KEY));
        Optional<String> idempotencyKey =
                Optional.ofNullable(context.header(HeaderNames.IDEMPOTENCY_KEY));
        String firstAttempt = context.header(HeaderNames.FIRST_ATTEMPT);
        if (operationKey.isPresent() && idempotencyKey.isPresent()) {
            return badRequest(
                    "Only one of Masticpond-Operation-Key and Idempotency-Key may be given.");
        }
        if (idempotencyKey
                .filter(key -> key.isBlank() || key.length() > MAXIMUM_KEY_LENGTH)
                .isPresent()) {
            return badRequest("An Idempotency-Key must have from 1 to 255 characters.");
        }
        if (operationKey
                .filter(key -> key.isBlank() || key.length() > MAXIMUM_KEY_LENGTH)
                .isPresent()) {
            return badRequest("A Masticpond-Operation-Key must have from 1 to 255 characters.");
        }
        return Either.right(
                new CallerService.OperationKeys(
                        operationKey, idempotencyKey, "true".equals(firstAttempt)));
    }

    private static Either<Refusal, Long> deadlineMillis(
            Context context, ServiceSpecification service) {
        String text = context.header(HeaderNames.DEADLINE_MILLIS);
        if (text == null) {
            return Either.right(service.defaultDeadlineMillis());
        }
        long millis;
        try {
            millis = Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            millis = -1;
        }
        if (millis < 1 || millis > MAXIMUM_DEADLINE_MILLIS) {
            return badRequest(
                    "The header Masticpond-Deadline-Millis must be a number from 1 to "
                            + MAXIMUM_DEADLINE_MILLIS
                            + ".");
        }
        return Either.right(millis);
    }

    private static String path(Context context, ServiceId service) {
        String uri = context.req().getRequestURI();
        String path = uri.substring(SERVICES_PATH.length() + service.value().length());
        String query = context.req().getQueryString();
        return (path.isEmpty() ? "/" : path) + (query == null ? "" : "?" + query);
    }

    private static String withoutQuery(String path) {
        int queryStart = path.indexOf('?');
        return queryStart < 0 ? path : path.substring(0, queryStart);
    }

    private static List<HeaderField> headers(Context context) {
        List<HeaderField> fields = new ArrayList<>();
        for (String name : Collections.list(context.req().getHeaderNames())) {
            if (!HeaderNames.isForwarded(name)) {
                continue;
            }
            for (String value : Collections.list(context.req().getHeaders(name))) {
                fields.add(new HeaderField(name, value));
            }
        }
        return fields;
    }

    private static <T> Either<Refusal, T> badRequest(String detail) {
        return Either.left(Refusal.didNotRun(RefusalCause.BAD_REQUEST, detail));
    }
}
