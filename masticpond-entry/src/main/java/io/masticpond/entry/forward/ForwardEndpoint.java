package io.masticpond.entry.forward;

import io.masticpond.core.support.Assert;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.AttemptStatements;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.settings.HeaderNames;
import java.util.List;
import java.util.Optional;

/**
 * {@link RequestHandler} for the requests of other instances. It reads the terms of a request and
 * adds to the answer its outcome and what backend servers stated. A request without terms is not
 * processed.
 *
 * @since 0.3
 */
public final class ForwardEndpoint implements RequestHandler {

    private final HeaderNames mNames;
    private final ForwardHeaders mHeaders;
    private final ForwardedRequestHandler mHandler;

    /**
     * Creates an endpoint.
     *
     * @param names the names of the platform's headers
     * @param handler the handler of the requests
     */
    public ForwardEndpoint(HeaderNames names, ForwardedRequestHandler handler) {
        mNames = Assert.notNull(names, "Header names");
        mHeaders = new ForwardHeaders(names);
        mHandler = Assert.notNull(handler, "A handler");
    }

    @Override
    public void handle(IncomingRequest request, Responder responder) {
        Optional<ForwardTerms> terms = mHeaders.takeTerms(request.headers());
        String id = request.headers().get(mNames.requestId());
        if (terms.isEmpty() || id == null || id.isEmpty()) {
            request.body().release();
            responder.abort();
            return;
        }
        RequestRecord facts = new RequestRecord(id, request.beginNanos());
        boolean acceptsStatements = mHeaders.acceptsStatements(request.headers());
        mHandler.handle(
                request,
                terms.get(),
                facts,
                new OutcomeResponder(responder, facts, acceptsStatements));
    }

    /** Responder that adds the outcome and the statements to the answer. */
    private final class OutcomeResponder implements Responder {

        private final Responder mResponder;
        private final RequestRecord mFacts;
        private final boolean mAcceptsStatements;

        OutcomeResponder(Responder responder, RequestRecord facts, boolean acceptsStatements) {
            mResponder = responder;
            mFacts = facts;
            mAcceptsStatements = acceptsStatements;
        }

        @Override
        public void answer(OutgoingAnswer answer) {
            mHeaders.writeOutcome(mFacts.outcome(), mFacts.cause(), answer.headers());
            mHeaders.writeStatements(
                    mAcceptsStatements ? AttemptStatements.of(mFacts) : List.of(),
                    answer.headers());
            mResponder.answer(answer);
        }

        @Override
        public void abort() {
            mResponder.abort();
        }

        @Override
        public void onClientDisconnected(Runnable action) {
            mResponder.onClientDisconnected(action);
        }

        @Override
        public boolean isClientDisconnected() {
            return mResponder.isClientDisconnected();
        }
    }
}
