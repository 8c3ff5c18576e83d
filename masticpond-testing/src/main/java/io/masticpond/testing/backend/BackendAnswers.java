package io.masticpond.testing.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.masticpond.testing.control.ControlServers;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writer of the responses of a stand-in backend server, including faulty ones. */
final class BackendAnswers {

    private static final Logger sLogger = LoggerFactory.getLogger(BackendAnswers.class);
    private static final String JSON = "application/json";

    private BackendAnswers() {}

    /** Header values of a response: leaving, connection close, and the request id. */
    record ResponseHead(boolean leaving, boolean close, String requestId) {

        /** Head without optional headers. */
        static final ResponseHead PLAIN = new ResponseHead(false, false, null);

        ResponseHead to(Exchange exchange) {
            return new ResponseHead(leaving, close, exchange.requestId());
        }
    }

    static void send(Channel channel, HttpResponseStatus status, String json, ResponseHead head) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        setHeaders(response.headers(), body.length, head);
        finish(channel.writeAndFlush(response), head);
    }

    static void sendShed(Channel channel, ResponseHead head) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        setHeaders(response.headers(), 0, head);
        response.headers().set(BackendHeaders.SHED, "true");
        finish(channel.writeAndFlush(response), head);
    }

    /** Sends the headers and the first half of the body, then closes the connection. */
    static void sendTruncated(Channel channel, String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setHeaders(response.headers(), body.length, ResponseHead.PLAIN);
        channel.write(response);
        channel.writeAndFlush(
                        new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, body.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes a connection at once, with a TCP reset unless the peer has closed it before. */
    static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            sLogger.debug("The connection was closed before it could be reset.", e);
        }
        channel.close();
    }

    static String echo(String server, Exchange exchange) {
        try {
            return ControlServers.MAPPER.writeValueAsString(
                    new Echo(
                            server,
                            exchange.requestId(),
                            exchange.operationId(),
                            exchange.target(),
                            exchange.digest(),
                            exchange.execution()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The response could not be serialized as JSON.", e);
        }
    }

    private static void setHeaders(HttpHeaders headers, int length, ResponseHead head) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, JSON);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        if (head.leaving()) {
            headers.set(BackendHeaders.LEAVING, "true");
        }
        if (head.requestId() != null) {
            headers.set(BackendHeaders.REQUEST_ID, head.requestId());
        }
        if (head.close()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private static void finish(ChannelFuture written, ResponseHead head) {
        if (head.close()) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Body of a response, which identifies the request that was answered. */
    private record Echo(
            String server,
            String requestId,
            String operationId,
            String target,
            String digest,
            int execution) {}
}
