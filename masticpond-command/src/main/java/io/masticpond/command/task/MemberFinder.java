package io.masticpond.command.task;

import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.client.StatusAnswer.Member;
import io.vavr.control.Either;
import java.util.Optional;

/** Finder of an instance by its name in the status of the first instance that responds. */
final class MemberFinder {

    private MemberFinder() {}

    static Either<CommandError, Member> find(OperatorClient client, String instance) {
        return AbstractInstanceCommand.translate(
                        client.get(StatusCommand.PATH)
                                .flatMap(document -> client.read(document, StatusAnswer.class)))
                .flatMap(status -> find(status, instance));
    }

    static Either<CommandError, InstanceAddress> parseAddress(String instance, String text) {
        try {
            return Either.right(InstanceAddress.parse(text));
        } catch (IllegalArgumentException e) {
            return Either.left(
                    CommandError.of(
                            ExitCode.UNREACHABLE, "The address of " + instance + " isn't known."));
        }
    }

    private static Either<CommandError, Member> find(StatusAnswer status, String instance) {
        Optional<Member> found =
                status.members().stream()
                        .filter(member -> member.instance().equals(instance))
                        .findFirst();
        return found.<Either<CommandError, Member>>map(Either::right)
                .orElseGet(
                        () ->
                                Either.left(
                                        CommandError.of(
                                                ExitCode.REFUSED,
                                                "Instance "
                                                        + status.instance()
                                                        + " knows of no instance "
                                                        + instance
                                                        + ".")));
    }
}
