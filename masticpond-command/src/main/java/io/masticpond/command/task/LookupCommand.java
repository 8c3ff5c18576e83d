package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.LookupAnswer;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.view.Cell;
import io.masticpond.command.view.Column;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.TextTable;
import io.vavr.control.Either;
import okhttp3.HttpUrl;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that sends the lookup with which a caller starts, and shows the instances it returns. */
@Command(
        name = "lookup",
        description = "Ask which instances a caller of a service would be told to use.")
final class LookupCommand extends AbstractInstanceCommand {

    @Parameters(
            paramLabel = "SERVICE",
            converter = IdentifierConverter.class,
            description = "The service.")
    private String mService;

    @Option(
            names = "--client",
            paramLabel = "IP",
            description = "The address of the client; your own if not given.")
    private String mClient;

    LookupCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return get(client, StatusCommand.PATH, StatusAnswer.class)
                .flatMap(LookupCommand::callerAddress)
                .flatMap(address -> translate(client.getAsCaller(url(address))))
                .flatMap(document -> show(client, document));
    }

    private static Either<CommandError, InstanceAddress> callerAddress(StatusAnswer status) {
        String text =
                status.members().stream()
                        .filter(member -> member.instance().equals(status.instance()))
                        .map(StatusAnswer.Member::callerAddress)
                        .findFirst()
                        .orElse("");
        return MemberFinder.parseAddress(status.instance(), text);
    }

    private HttpUrl url(InstanceAddress address) {
        HttpUrl.Builder url =
                address.url()
                        .newBuilder()
                        .addPathSegments("v1/lookup")
                        .addQueryParameter("service", mService);
        if (mClient != null) {
            url.addQueryParameter("client", mClient);
        }
        return url.build();
    }

    private Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document) {
        if (context().isJson()) {
            return Either.right(writeJson(document));
        }
        return translate(client.read(document, LookupAnswer.class)).map(this::show);
    }

    private ExitCode show(LookupAnswer lookup) {
        TextTable table =
                new TextTable(
                        Column.numberColumn("ORDER"),
                        Column.textColumn("INSTANCE"),
                        Column.textColumn("ZONE"),
                        Column.textColumn("ADDRESS"));
        int order = 1;
        for (LookupAnswer.Instance instance : lookup.instances()) {
            table.add(
                    Cell.of(order++),
                    Cell.of(instance.id()),
                    Cell.of(instance.zone()),
                    Cell.of(instance.address()));
        }
        Page page = context().page();
        page.line(
                "Version "
                        + lookup.configurationVersion()
                        + ", may be cached for "
                        + lookup.cacheMillis()
                        + " ms");
        page.table(table);
        return ExitCode.DONE;
    }
}
