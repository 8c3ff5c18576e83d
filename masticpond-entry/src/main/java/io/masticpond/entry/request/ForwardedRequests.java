package io.masticpond.entry.request;

import io.masticpond.core.routing.Route;
import io.masticpond.entry.forward.ForwardRefusal;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.forward.ForwardedRequestHandler;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.RequestRecord;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;

/**
 * {@link ForwardedRequestHandler} that processes requests of other instances like those of clients,
 * except that they were counted by the instance that forwarded them and are not forwarded again.
 */
final class ForwardedRequests implements ForwardedRequestHandler {

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final RequestFlow mFlow;

    ForwardedRequests(RequestFlow flow) {
        mFlow = flow;
    }

    @Override
    public void handle(
            IncomingRequest request, ForwardTerms terms, RequestRecord facts, Responder responder) {
        Optional<String> obstacle = mFlow.obstacle();
        if (obstacle.isPresent()) {
            refuse(request, responder, facts, obstacle.get());
            return;
        }
        if (!mFlow.forwarding().tryAccept()) {
            refuse(request, responder, facts, ForwardRefusal.BUSY);
            return;
        }
        Responder counted = new AcceptedResponder(responder);
        String host = request.headers().get(HttpHeaderNames.HOST);
        Optional<Route> route = mFlow.state().match(host, request.target());
        if (route.isEmpty()) {
            refuse(request, counted, facts, "not-ready");
            return;
        }
        Either<Rejection, Caller> caller =
                mFlow.authenticator().authenticateForwarded(terms.key(), route.get());
        if (caller.isLeft()) {
            mFlow.refuse(request, counted, facts, caller.getLeft());
            return;
        }
        mFlow.startForwarded(request, counted, facts, caller.get(), terms);
    }

    private void refuse(
            IncomingRequest request, Responder responder, RequestRecord facts, String cause) {
        mFlow.refuse(request, responder, facts, Rejection.unavailable(cause, RETRY_DELAY));
    }

    /** Responder that counts the end of an accepted request. */
    private final class AcceptedResponder implements Responder {

        private final Responder mResponder;
        private boolean mEnded;

        AcceptedResponder(Responder responder) {
            mResponder = responder;
        }

        private void end() {
            if (!mEnded) {
                mEnded = true;
                mFlow.forwarding().acceptedEnded();
            }
        }

        @Override
        public void answer(OutgoingAnswer answer) {
            end();
            mResponder.answer(answer);
        }

        @Override
        public void abort() {
            end();
            mResponder.abort();
        }

        @Override
        public void onClientDisconnected(Runnable action) {
            mResponder.onClientDisconnected(
                    () -> {
                        end();
                        action.run();
                    });
        }

        @Override
        public boolean isClientDisconnected() {
            return mResponder.isClientDisconnected();
        }
    }
}
