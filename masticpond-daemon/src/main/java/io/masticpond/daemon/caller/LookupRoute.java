package io.masticpond.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.membership.Member;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.daemon.header.HeaderNames;
import java.util.Optional;
import java.util.Set;

/** Handler of look-ups, which returns the instances that a client should use for a service. */
final class LookupRoute implements Handler {

    private static final Set<String> PARAMETERS = Set.of("service", "client", "version");

    private final CallerService mService;
    private final ObjectMapper mMapper = new ObjectMapper();

    LookupRoute(CallerService service) {
        mService = service;
    }

    @Override
    public void handle(Context context) throws JsonProcessingException {
        Optional<String> fault = findParameterFault(context);
        if (fault.isPresent()) {
            refuse(context, RefusalCause.BAD_REQUEST, fault.get());
            return;
        }
        Optional<String> notReady = mService.unreadyReason();
        if (notReady.isPresent()) {
            refuse(context, RefusalCause.NOT_READY, notReady.get());
            return;
        }
        ServiceId id = new ServiceId(context.queryParam("service"));
        Optional<ServiceSpecification> service = mService.configuration().service(id);
        if (service.isEmpty()) {
            refuse(context, RefusalCause.NOT_FOUND, "There is no service '" + id + "'.");
            return;
        }
        String client = Optional.ofNullable(context.queryParam("client")).orElse(context.ip());
        LookupDecision decision = mService.lookup(id, client, seenVersion(context));
        if (decision.configuration().number() < seenVersion(context)) {
            refuse(
                    context,
                    RefusalCause.NOT_READY,
                    "Version "
                            + seenVersion(context)
                            + " is not in force here yet; ask again soon.");
            return;
        }
        answer(context, service.get(), decision);
    }

    private void answer(Context context, ServiceSpecification service, LookupDecision decision)
            throws JsonProcessingException {
        ObjectNode answer = mMapper.createObjectNode();
        answer.put("service", service.id().value());
        ArrayNode instances = answer.putArray("instances");
        for (Member member : decision.instances()) {
            ObjectNode instance = instances.addObject();
            instance.put("id", member.id().value());
            instance.put("zone", member.zone().value());
            instance.put("address", member.callerAddress());
        }
        answer.put("cacheMillis", decision.cacheFor().toMillis());
        answer.put("configurationVersion", decision.configuration().number());
        boolean onceOnly =
                service.operations().stream()
                        .anyMatch(operation -> operation.kind() == OperationKind.ONCE_ONLY);
        if (onceOnly) {
            mService.operationKey(service.id()).ifPresent(key -> answer.put("operationKey", key));
        }
        context.header(
                "Cache-Control",
                onceOnly ? "no-store" : "max-age=" + decision.cacheFor().toSeconds());
        context.header(HeaderNames.CONFIGURATION_VERSION, decision.configuration().toString());
        context.contentType("application/json");
        context.result(mMapper.writeValueAsString(answer));
    }

    private static Optional<String> findParameterFault(Context context) {
        for (String name : context.queryParamMap().keySet()) {
            if (!PARAMETERS.contains(name)) {
                return Optional.of("There is no parameter '" + name + "'.");
            }
        }
        if (context.queryParam("service") == null) {
            return Optional.of("The parameter 'service' must be given.");
        }
        if (seenVersion(context) < 0) {
            return Optional.of("The parameter 'version' must be a number from 0.");
        }
        return Optional.empty();
    }

    private static long seenVersion(Context context) {
        String text = context.queryParam("version");
        if (text == null) {
            return 0;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void refuse(Context context, RefusalCause cause, String detail) {
        ProblemWriter.write(context, Refusal.didNotRun(cause, detail), "");
    }
}
