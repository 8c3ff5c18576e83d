package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.RouteKind;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/** Admission of requests: finds the route, the caller and the service, or refuses the request. */
final class RequestAdmission {

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final Duration UNCONFIGURED_RETRY_DELAY = Duration.ofMillis(300);

    /** Only another version of the configuration helps, which is in force within 4 s. */
    private static final Duration UNREADABLE_RETRY_DELAY = Duration.ofSeconds(5);

    private final RequestFlow mFlow;
    private final Function<Route, ServiceId> mSplit;

    RequestAdmission(RequestFlow flow, Function<Route, ServiceId> split) {
        mFlow = flow;
        mSplit = split;
    }

    static Rejection unconfigured(String cause) {
        return Rejection.unavailable(cause, UNCONFIGURED_RETRY_DELAY);
    }

    /** Starts the request of a client or refuses it. */
    void admit(
            IncomingRequest request, Responder responder, RequestRecord facts, UpdateTimes times) {
        recordUpdateAges(facts, times);
        String id = request.headers().get(mFlow.names().requestId());
        if (id == null || id.isEmpty()) {
            Rejection rejection = Rejection.invalid("no-request-id", BAD_REQUEST);
            mFlow.refuse(request, responder, facts, rejection);
            return;
        }
        String host = request.headers().get(HttpHeaderNames.HOST);
        Optional<Route> route = mFlow.state().match(host, request.target());
        if (route.isEmpty()) {
            mFlow.refuse(request, responder, facts, withoutRoute(host, request.target()));
            return;
        }
        Either<Rejection, Caller> caller =
                mFlow.authenticator().authenticate(request, route.get(), facts);
        if (caller.isLeft()) {
            long target = route.get().targetLatency().toMillis();
            facts.routed(route.get().id(), null, target, request.beginNanos());
            mFlow.refuse(request, responder, facts, caller.getLeft());
            return;
        }
        Route restricted = caller.get().route();
        mFlow.begin(
                admitted(
                        request,
                        responder,
                        facts,
                        caller.get(),
                        mSplit.apply(restricted),
                        restricted.maximumAttempts(),
                        false));
    }

    private Rejection withoutRoute(String host, String target) {
        return mFlow.state().mayHaveUnreadableRoute(host, target)
                ? Rejection.unavailable("unreadable-route", UNREADABLE_RETRY_DELAY)
                : Rejection.invalid("no-route", NOT_FOUND);
    }

    /** Starts a request that another instance forwarded. */
    void startForwarded(
            IncomingRequest request,
            Responder responder,
            RequestRecord facts,
            Caller caller,
            ForwardTerms terms,
            UpdateTimes times) {
        recordUpdateAges(facts, times);
        Route route = caller.route();
        boolean isNamed =
                route.services().stream().anyMatch(each -> each.service().equals(terms.service()));
        mFlow.begin(
                admitted(
                        request,
                        responder,
                        facts,
                        caller,
                        isNamed ? terms.service() : mSplit.apply(route),
                        Math.min(terms.attempts(), route.maximumAttempts()),
                        true));
    }

    private AdmittedRequest admitted(
            IncomingRequest request,
            Responder responder,
            RequestRecord facts,
            Caller caller,
            ServiceId service,
            int attempts,
            boolean isForwarded) {
        Route route = caller.route();
        Long deadline =
                RequestTimes.parseDeadlineMillis(
                        request.headers().get(mFlow.names().deadlineMillis()));
        RequestTimes times = RequestTimes.of(request.beginNanos(), deadline, route);
        facts.routed(route.id(), service, route.targetLatency().toMillis(), times.deadlineNanos());
        facts.kind(route.idempotent() ? RouteKind.IDEMPOTENT : RouteKind.ONCE_ONLY);
        return new AdmittedRequest(
                request,
                responder,
                facts,
                caller,
                service,
                times,
                deadline != null,
                attempts,
                isForwarded);
    }

    private void recordUpdateAges(RequestRecord facts, UpdateTimes times) {
        long now = mFlow.nowNanos();
        boolean known = times != null;
        long version =
                mFlow.state()
                        .snapshot()
                        .routing()
                        .map(routing -> routing.version())
                        .orElse(RequestRecord.UNKNOWN);
        facts.routing(version, known ? now - times.routingNanos() : RequestRecord.UNKNOWN);
        facts.registry(
                mFlow.state().snapshot().revision(),
                known ? now - times.registryNanos() : RequestRecord.UNKNOWN);
    }
}
