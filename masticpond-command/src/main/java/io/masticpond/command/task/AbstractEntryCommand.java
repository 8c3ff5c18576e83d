package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.FanOut;
import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryParts;
import io.masticpond.command.view.EntryParts.Part;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A command that asks instances of the request path. */
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
     * Asks all instances: those given, and all that the first to answer knows, also those that it
     * takes for gone.
     */
    static Either<CommandError, EntryParts> queryAll(OperatorClient client, String path) {
        return translate(client.get(MEMBERS)).map(members -> queryAll(client, members, path));
    }

    private static EntryParts queryAll(OperatorClient client, JsonNode members, String path) {
        Map<InstanceAddress, String> names = new LinkedHashMap<>();
        List<Part> parts = new ArrayList<>();
        for (JsonNode member : members.path("members")) {
            String name = member.path("instance").asText();
            MemberFinder.address(name, member.path("control").asText())
                    .peek(address -> names.put(address, name))
                    .peekLeft(error -> parts.add(new Part(name, null, error.message())));
        }
        client.instances().forEach(given -> names.putIfAbsent(given, given.toString()));
        FanOut.query(List.copyOf(names.keySet()), address -> client.getFrom(address, path))
                .forEach(
                        (address, answer) ->
                                parts.add(
                                        answer.fold(
                                                error ->
                                                        new Part(
                                                                names.get(address),
                                                                null,
                                                                error.reason()),
                                                document ->
                                                        new Part(
                                                                document.path("instance").asText(),
                                                                document,
                                                                ""))));
        return new EntryParts(parts);
    }

    /** Ends a command that asked all. */
    static ExitCode ended(EntryParts parts) {
        return parts.isWhole() ? ExitCode.DONE : ExitCode.PARTIAL;
    }
}
