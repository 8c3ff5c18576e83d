package io.masticpond.entry.wiring;

import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.metrics.EntryMetrics;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Request handler that serves the metrics of an instance. The control thread renders them, since
 * the first page takes long; the traffic thread only collects its own values.
 */
@Singleton
final class MetricsHandler implements RequestHandler {

    /** Path of the metrics. */
    static final String PATH = "/metrics";

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final EntryMetrics mMetrics;
    private final EntryMetricsCollector mCollector;
    private final EventLoop mTraffic;
    private final EventLoop mControl;

    @Inject
    MetricsHandler(
            EntryMetrics metrics,
            EntryMetricsCollector collector,
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control) {
        mMetrics = metrics;
        mCollector = collector;
        mTraffic = traffic;
        mControl = control;
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        request.body().release();
        if (!isMetricsRequest(request)) {
            responder.answer(answer(NOT_FOUND, Unpooled.EMPTY_BUFFER));
            return;
        }
        mTraffic.execute(
                () -> {
                    mCollector.readTraffic();
                    mControl.execute(() -> answerMetrics(responder));
                });
    }

    private void answerMetrics(Responder responder) {
        responder.answer(answer(OK, Unpooled.wrappedBuffer(mMetrics.scrapeBytes())));
    }

    private static boolean isMetricsRequest(IncomingRequest request) {
        String path = request.target().split("\\?", 2)[0];
        return request.method().equals(HttpMethod.GET) && path.equals(PATH);
    }

    private static OutgoingAnswer answer(int status, ByteBuf body) {
        return new OutgoingAnswer(
                status,
                new DefaultHttpHeaders()
                        .set(HttpHeaderNames.CONTENT_TYPE, EntryMetrics.CONTENT_TYPE),
                body);
    }
}
