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
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Answers operators with JSON documents below {@code /v1/}; all other paths go on. The one thing
 * that can be changed by it is that a rejected request is released. Every question is answered
 * within about a second, and none waits in the way of requests. Control thread only.
 *
 * @since 0.2
 */
public final class ControlSurface implements RequestHandler {

    private static final int FOUND = 200;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;
    private static final String DOCUMENT = "application/json";
    private static final String PROBLEM = "application/problem+json";

    private final ControlSources mSources;
    private final RequestHandler mNext;
    private final TrafficReader mReader;
    private final JsonMapper mMapper = new JsonMapper();

    /**
     * Joins the parts.
     *
     * @param sources the parts to ask
     * @param next handles requests for other paths
     */
    public ControlSurface(ControlSources sources, RequestHandler next) {
        mSources = Assert.notNull(sources, "Sources");
        mNext = Assert.notNull(next, "A next handler");
        mReader =
                new TrafficReader(
                        sources.timeSource(),
                        sources.traffic(),
                        sources.control(),
                        now -> TrafficSnapshot.take(sources.flow(), sources.limits(), now));
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        if (!request.target().startsWith(ControlRequest.ROOT)) {
            mNext.handle(request, responder);
            return;
        }
        request.body().release();
        Either<ControlProblem, ControlRequest> question =
                ControlRequest.read(request.method(), request.target());
        if (question.isLeft()) {
            refuse(question.getLeft(), responder);
        } else if (question.get().isChange()) {
            release(question.get(), responder);
        } else if (question.get().view().needsTraffic()) {
            mReader.read(snapshot -> answer(question.get(), snapshot, responder));
        } else {
            answer(question.get(), Either.right(null), responder);
        }
    }

    private void release(ControlRequest question, Responder responder) {
        Optional<RequestFingerprint> request =
                question.parameter(ControlView.FINGERPRINT).flatMap(RequestFingerprint::parse);
        if (request.isEmpty()) {
            refuse(
                    ControlProblem.badRequest(
                            "bad-parameter",
                            "%s must be the 32 hexadecimal digits of a fingerprint.",
                            ControlView.FINGERPRINT),
                    responder);
            return;
        }
        mSources.traffic()
                .execute(
                        () -> {
                            boolean isKnown = mSources.flow().crashes().release(request.get());
                            mSources.control()
                                    .execute(() -> released(request.get(), isKnown, responder));
                        });
    }

    private void released(RequestFingerprint request, boolean isKnown, Responder responder) {
        if (isKnown) {
            ObjectNode document =
                    JsonFormat.object()
                            .put("instance", mSources.self().id().value())
                            .put("released", request.toString());
            responder.answer(answer(FOUND, DOCUMENT, document));
        } else {
            refuse(
                    ControlProblem.notFound(
                            "no-such-request", "No request %s is followed here.", request),
                    responder);
        }
    }

    private void answer(
            ControlRequest question,
            Either<ControlProblem, TrafficSnapshot> snapshot,
            Responder responder) {
        Either<ControlProblem, ObjectNode> document =
                snapshot.map(traffic -> new ControlDocuments(mSources, traffic))
                        .flatMap(documents -> question.view().show(question, documents));
        document.peek(found -> responder.answer(answer(FOUND, DOCUMENT, found)))
                .peekLeft(problem -> refuse(problem, responder));
    }

    private void refuse(ControlProblem problem, Responder responder) {
        ObjectNode document =
                JsonFormat.object()
                        .put("status", problem.status())
                        .put("cause", problem.cause())
                        .put("detail", problem.detail());
        OutgoingAnswer answer = answer(problem.status(), PROBLEM, document);
        if (problem.status() == METHOD_NOT_ALLOWED) {
            answer.headers().set(HttpHeaderNames.ALLOW, "GET");
        } else if (problem.status() == UNAVAILABLE) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, "1");
        }
        responder.answer(answer);
    }

    private OutgoingAnswer answer(int status, String type, JsonNode document) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, type);
        return new OutgoingAnswer(status, headers, Unpooled.wrappedBuffer(bytes(document)));
    }

    private byte[] bytes(JsonNode document) {
        try {
            return mMapper.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A document could not be written.", e);
        }
    }
}
