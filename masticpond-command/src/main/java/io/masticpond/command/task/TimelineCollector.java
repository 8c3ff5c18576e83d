package io.masticpond.command.task;

import io.masticpond.command.client.ClientError;
import io.masticpond.command.client.FanOut;
import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.client.StatusAnswer.Member;
import io.masticpond.command.client.StatusAnswer.MemberState;
import io.masticpond.command.client.TimelineAnswer;
import io.masticpond.command.view.Lane;
import io.masticpond.command.view.MergedTimeline;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collector of the events of all instances: the given ones, and all that the first responding
 * instance knows of.
 *
 * <p>Instances that are known to be dead are not queried; the timeline names them as dead.
 */
final class TimelineCollector {

    private final OperatorClient mClient;

    TimelineCollector(OperatorClient client) {
        mClient = client;
    }

    /** Collects the events at the given path, which includes the query. */
    Either<CommandError, MergedTimeline> collect(String path) {
        return AbstractInstanceCommand.translate(
                        mClient.get(StatusCommand.PATH)
                                .flatMap(document -> mClient.read(document, StatusAnswer.class)))
                .flatMap(status -> collect(status, path));
    }

    private Either<CommandError, MergedTimeline> collect(StatusAnswer status, String path) {
        Map<String, Lane> lanes = new LinkedHashMap<>();
        Map<InstanceAddress, String> namesByAddress = new LinkedHashMap<>();
        for (Member member : status.members()) {
            addMember(member, lanes, namesByAddress);
        }
        mClient.instances().forEach(given -> namesByAddress.putIfAbsent(given, given.toString()));
        Map<InstanceAddress, Either<ClientError, TimelineAnswer>> responses =
                FanOut.query(
                        List.copyOf(namesByAddress.keySet()),
                        address -> requestTimeline(address, path));
        for (Map.Entry<InstanceAddress, Either<ClientError, TimelineAnswer>> entry :
                responses.entrySet()) {
            Either<ClientError, TimelineAnswer> response = entry.getValue();
            if (response.isLeft() && !(response.getLeft() instanceof ClientError.Unreachable)) {
                return Either.left(CommandError.of(response.getLeft()));
            }
            Lane lane = laneOf(namesByAddress.get(entry.getKey()), response);
            lanes.put(lane.instance(), lane);
        }
        return Either.right(MergedTimeline.of(List.copyOf(lanes.values())));
    }

    private static void addMember(
            Member member, Map<String, Lane> lanes, Map<InstanceAddress, String> namesByAddress) {
        String name = member.instance();
        if (member.state() == MemberState.DEAD) {
            lanes.putIfAbsent(name, Lane.dead(name));
            return;
        }
        MemberFinder.parseAddress(name, member.operatorAddress())
                .peek(address -> namesByAddress.put(address, name))
                .peekLeft(error -> lanes.put(name, Lane.missing(name, "its address isn't known")));
    }

    private static Lane laneOf(String name, Either<ClientError, TimelineAnswer> response) {
        return response.fold(
                error -> Lane.missing(name, error.reason()), timeline -> Lane.of(timeline));
    }

    private Either<ClientError, TimelineAnswer> requestTimeline(
            InstanceAddress address, String path) {
        return mClient.getFrom(address, path)
                .flatMap(document -> mClient.read(document, TimelineAnswer.class));
    }
}
