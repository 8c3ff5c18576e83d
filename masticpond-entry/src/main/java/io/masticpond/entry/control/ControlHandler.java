package io.masticpond.entry.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.http.Responder;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Request handler that serves JSON documents to operators below {@code /v1/} and delegates all
 * other paths. The only change that it allows is the release of a rejected request. Every request
 * is answered within about a second, and none blocks the requests of clients. Not thread-safe: for
 * the control thread only.
 *
 * @since 0.2
 */
public final class ControlHandler implements RequestHandler {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String JSON_TYPE = "application/json";
    private static final String PROBLEM_TYPE = "application/problem+json";

    private final ControlSources mSources;
    private final RequestHandler mNext;
    private final TrafficReader mReader;
    private final RejectionRelease mRelease;
    private final JsonMapper mMapper = new JsonMapper();

    /**
     * Creates a handler.
     *
     * @param sources the components to read
     * @param next the handler of requests for other paths
     */
    public ControlHandler(ControlSources sources, RequestHandler next) {
        mSources = Assert.notNull(sources, "Sources");
        mNext = Assert.notNull(next, "A next handler");
        mReader =
                new TrafficReader(
                        sources.timeSource(),
                        sources.traffic(),
                        sources.control(),
                        now ->
                                TrafficSnapshot.take(
                                        sources.flow(), sources.limits(), sources.loads(), now));
        mRelease =
                new RejectionRelease(
                        sources.traffic(),
                        sources.control(),
                        fingerprint -> sources.flow().crashGuard().release(fingerprint));
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        if (!request.target().startsWith(ControlRequest.PATH_PREFIX)) {
            mNext.handle(request, responder);
            return;
        }
        request.body().release();
        Either<ControlProblem, ControlRequest> controlRequest =
                ControlRequest.read(request.method(), request.target());
        if (controlRequest.isLeft()) {
            answerProblem(controlRequest.getLeft(), responder);
        } else if (controlRequest.get().isChange()) {
            release(controlRequest.get(), responder);
        } else if (controlRequest.get().view().needsTraffic()) {
            mReader.read(snapshot -> answer(controlRequest.get(), snapshot, responder));
        } else {
            answer(controlRequest.get(), Either.right(null), responder);
        }
    }

    private void release(ControlRequest controlRequest, Responder responder) {
        Optional<RequestFingerprint> fingerprint =
                controlRequest
                        .parameter(ControlView.FINGERPRINT)
                        .flatMap(RequestFingerprint::parse);
        if (fingerprint.isEmpty()) {
            answerProblem(
                    ControlProblem.badRequest(
                            "bad-parameter",
                            "%s must be the 32 hexadecimal digits of a fingerprint.",
                            ControlView.FINGERPRINT),
                    responder);
            return;
        }
        mRelease.release(
                fingerprint.get(),
                released ->
                        released.peek(
                                        isKnown ->
                                                answerReleased(
                                                        fingerprint.get(), isKnown, responder))
                                .peekLeft(problem -> answerProblem(problem, responder)));
    }

    private void answerReleased(
            RequestFingerprint fingerprint, boolean isKnown, Responder responder) {
        if (isKnown) {
            ObjectNode document =
                    JsonFormat.object()
                            .put("instance", mSources.self().id().value())
                            .put("released", fingerprint.toString());
            responder.answer(answer(OK, JSON_TYPE, document));
        } else {
            answerProblem(
                    ControlProblem.notFound(
                            "no-such-request", "No request %s is followed here.", fingerprint),
                    responder);
        }
    }

    private void answer(
            ControlRequest controlRequest,
            Either<ControlProblem, TrafficSnapshot> snapshot,
            Responder responder) {
        Either<ControlProblem, ObjectNode> document =
                snapshot.map(traffic -> new ControlDocuments(mSources, traffic))
                        .flatMap(
                                documents ->
                                        controlRequest.view().build(controlRequest, documents));
        document.peek(found -> responder.answer(answer(OK, JSON_TYPE, found)))
                .peekLeft(problem -> answerProblem(problem, responder));
    }

    private void answerProblem(ControlProblem problem, Responder responder) {
        ObjectNode document =
                JsonFormat.object()
                        .put("status", problem.status())
                        .put("cause", problem.cause())
                        .put("detail", problem.detail());
        OutgoingAnswer answer = answer(problem.status(), PROBLEM_TYPE, document);
        if (!problem.allowedMethods().isEmpty()) {
            answer.headers().set(HttpHeaderNames.ALLOW, allowed(problem));
        } else if (problem.status() == UNAVAILABLE) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
        }
        responder.answer(answer);
    }

    private static String allowed(ControlProblem problem) {
        return problem.allowedMethods().stream()
                .map(HttpMethod::name)
                .collect(Collectors.joining(", "));
    }

    private OutgoingAnswer answer(int status, String type, JsonNode document) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, type);
        return new OutgoingAnswer(status, headers, Unpooled.wrappedBuffer(bytes(document)));
    }

    private byte[] bytes(JsonNode document) {
        try {
            return mMapper.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A control document could not be serialized.", e);
        }
    }
}
