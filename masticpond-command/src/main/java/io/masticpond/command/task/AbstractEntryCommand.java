package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.FanOut;
import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryResponses;
import io.masticpond.command.view.EntryResponses.Response;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Base class for commands that query instances of the request path. */
abstract class AbstractEntryCommand extends AbstractInstanceCommand {

    private static final String MEMBERS = "v1/members";

    AbstractEntryCommand(CommandContext context) {
        super(context);
    }

    @Override
    final Either<CommandError, OperatorClient> connect() {
        return context().connectWithoutToken();
    }

    /**
     * Queries all instances: the given ones, and all that the first responding instance knows of,
     * including those that it considers terminated.
     */
    static Either<CommandError, EntryResponses> queryAll(OperatorClient client, String path) {
        return translate(client.get(MEMBERS)).map(members -> queryAll(client, members, path));
    }

    private static EntryResponses queryAll(OperatorClient client, JsonNode members, String path) {
        Map<InstanceAddress, String> names = new LinkedHashMap<>();
        List<Response> responses = new ArrayList<>();
        for (JsonNode member : members.path("members")) {
            String name = member.path("instance").asText();
            MemberFinder.parseAddress(name, member.path("control").asText())
                    .peek(address -> names.put(address, name))
                    .peekLeft(error -> responses.add(new Response(name, null, error.message())));
        }
        client.instances().forEach(given -> names.putIfAbsent(given, given.toString()));
        FanOut.query(List.copyOf(names.keySet()), address -> client.getFrom(address, path))
                .forEach(
                        (address, answer) ->
                                responses.add(
                                        answer.fold(
                                                error ->
                                                        new Response(
                                                                names.get(address),
                                                                null,
                                                                error.reason()),
                                                document ->
                                                        new Response(
                                                                document.path("instance").asText(),
                                                                document,
                                                                ""))));
        return new EntryResponses(responses);
    }

    /** Returns the exit code of a command that queried all instances. */
    static ExitCode exitCodeFor(EntryResponses responses) {
        return responses.isComplete() ? ExitCode.DONE : ExitCode.PARTIAL;
    }
}
