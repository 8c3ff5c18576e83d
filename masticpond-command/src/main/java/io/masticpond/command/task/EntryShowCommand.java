package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryDocument;
import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that shows a document of the first instance that responds. */
@Command
class EntryShowCommand extends AbstractEntryCommand {

    private final EntryDocument mDocument;

    EntryShowCommand(CommandContext context, EntryDocument document) {
        super(context);
        mDocument = document;
    }

    /** Creates a command for each document. */
    static List<CommandSpec> createAll(CommandContext context) {
        return Stream.of(EntryDocument.values())
                .map(document -> create(context, document))
                .map(EntryShowCommand::spec)
                .toList();
    }

    private static EntryShowCommand create(CommandContext context, EntryDocument document) {
        return switch (document) {
            case SERVERS -> new Servers(context);
            case LOAD -> new Load(context);
            default -> new EntryShowCommand(context, document);
        };
    }

    @Override
    protected final Either<CommandError, ExitCode> run(OperatorClient client) {
        return translate(client.get("v1/" + mDocument.resourceName() + query())).map(this::show);
    }

    /** Returns the query string with its leading question mark, or an empty string. */
    String query() {
        return "";
    }

    private static String serviceQuery(String service) {
        return service == null ? "" : "?service=" + service;
    }

    private ExitCode show(JsonNode document) {
        if (context().isJson()) {
            return writeJson(document);
        }
        mDocument.show(document, context().page());
        return ExitCode.DONE;
    }

    private CommandSpec spec() {
        CommandSpec spec = CommandSpec.forAnnotatedObject(this).name(mDocument.resourceName());
        spec.usageMessage().description(mDocument.description());
        return spec;
    }

    /** Command that shows the backend servers, optionally of one service only. */
    @Command
    private static final class Servers extends EntryShowCommand {

        @Option(
                names = "--service",
                paramLabel = "SERVICE",
                converter = IdentifierConverter.class,
                description = "Only servers of this service.")
        private String mService;

        Servers(CommandContext context) {
            super(context, EntryDocument.SERVERS);
        }

        @Override
        String query() {
            return serviceQuery(mService);
        }
    }

    /** Command that shows the load of all services or of one. */
    @Command
    private static final class Load extends EntryShowCommand {

        @Parameters(
                arity = "0..1",
                paramLabel = "SERVICE",
                converter = IdentifierConverter.class,
                description = "Only the load of this service.")
        private String mService;

        Load(CommandContext context) {
            super(context, EntryDocument.LOAD);
        }

        @Override
        String query() {
            return serviceQuery(mService);
        }
    }
}
