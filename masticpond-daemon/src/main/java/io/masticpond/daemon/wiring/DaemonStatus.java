package io.masticpond.daemon.wiring;

import io.masticpond.core.id.Incarnation;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.gateway.RequestGateway;
import io.masticpond.daemon.lifecycle.PlannedStop;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.operator.StatusAnswer;
import io.masticpond.daemon.operator.StatusSource;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.steering.SteeringService;
import java.util.List;
import java.util.Locale;
import javax.inject.Inject;

/** Source of the status of this instance. Thread-safe. */
final class DaemonStatus implements StatusSource {

    private final DaemonSettings mSettings;
    private final Incarnation mIncarnation;
    private final PlannedStop mStop;
    private final RequestGateway mGateway;
    private final ConfigurationHolder mConfiguration;
    private final CallerServer mCallers;
    private final MembershipService mMembers;
    private final SteeringService mSteeringService;

    @Inject
    DaemonStatus(
            DaemonSettings settings,
            Incarnation incarnation,
            PlannedStop stop,
            RequestGateway gateway,
            ConfigurationHolder configuration,
            CallerServer callers,
            MembershipService members,
            SteeringService steeringService) {
        mSettings = settings;
        mIncarnation = incarnation;
        mStop = stop;
        mGateway = gateway;
        mConfiguration = configuration;
        mCallers = callers;
        mMembers = members;
        mSteeringService = steeringService;
    }

    @Override
    public StatusAnswer status() {
        List<StatusAnswer.MemberEntry> members =
                mMembers.view().members().stream().map(StatusAnswer.MemberEntry::of).toList();
        List<StatusAnswer.CapacityEntry> capacity =
                mSteeringService.regionHeadrooms().entrySet().stream()
                        .map(
                                each ->
                                        StatusAnswer.CapacityEntry.of(
                                                each.getKey().service(),
                                                each.getKey().region(),
                                                each.getValue(),
                                                ""))
                        .toList();
        return new StatusAnswer(
                mIncarnation.instance().value(),
                mIncarnation.number(),
                mSettings.instance().zone().value(),
                mStop.state().name().toLowerCase(Locale.ROOT),
                mGateway.unreadyReason().isEmpty(),
                mGateway.unreadyReason().stream().toList(),
                mConfiguration.current().version().number(),
                true,
                mCallers.inFlightCount(),
                members,
                capacity);
    }
}
