package io.masticpond.command.task;

import io.masticpond.command.client.OperatorClient;
import io.vavr.control.Either;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Command that releases a request that instances reject because backend servers crashed while
 * processing it.
 */
@Command(
        name = "release",
        description = {
            "Release a request that is rejected since backend servers ended under it.",
            "The instance that answers tells all others; three further ends reject it again."
        })
final class EntryReleaseCommand extends AbstractEntryCommand {

    private static final String FINGERPRINT_PATTERN = "[0-9a-f]{32}";

    @Parameters(
            paramLabel = "FINGERPRINT",
            description = "The fingerprint, as 'entry crashes' and the log show it.")
    private String mFingerprint;

    EntryReleaseCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        if (!mFingerprint.matches(FINGERPRINT_PATTERN)) {
            return Either.left(
                    CommandError.of(
                            ExitCode.BAD_USAGE,
                            "A fingerprint has 32 hexadecimal digits, but was '"
                                    + mFingerprint
                                    + "'."));
        }
        return translate(client.delete("v1/crashes?fingerprint=" + mFingerprint))
                .map(
                        document -> {
                            if (context().isJson()) {
                                return writeJson(document);
                            }
                            context()
                                    .page()
                                    .line(
                                            "Released "
                                                    + mFingerprint
                                                    + "; "
                                                    + document.path("instance").asText()
                                                    + " tells the others.");
                            return ExitCode.DONE;
                        });
    }
}
