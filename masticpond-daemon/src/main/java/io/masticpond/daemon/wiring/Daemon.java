package io.masticpond.daemon.wiring;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.membership.MembershipView;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.configuration.ConfigurationService;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.forwarding.ForwardReceiver;
import io.masticpond.daemon.gateway.LookupTable;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.lifecycle.PlannedStop;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.operation.OperationReceiver;
import io.masticpond.daemon.operator.OperatorServer;
import io.masticpond.daemon.spending.SpendingService;
import io.masticpond.daemon.steering.SteeringService;
import io.masticpond.daemon.wiring.OperationModule.OperationThread;
import io.masticpond.protocol.generated.HeadroomEntry;
import java.util.List;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The daemon process: starts and stops its parts in the order of their dependencies.
 *
 * @since 0.1
 */
@Singleton
public final class Daemon {

    /** Exit code placeholder: the daemon keeps running after its start. */
    public static final int RUNNING = -1;

    private static final Logger sLogger = LoggerFactory.getLogger(Daemon.class);

    private final Incarnation mIncarnation;
    private final EventLoop mSteeringLoop;
    private final EventLoop mOperationLoop;
    private final SteeringService mSteeringService;
    private final BackendWatch mBackendWatch;
    private final NettyInstanceLinks mLinks;
    private final ForwardReceiver mForwardReceiver;
    private final OperationReceiver mOperationReceiver;
    private final ConfigurationHolder mConfiguration;
    private final ConfigurationService mConfigurationService;
    private final SpendingService mSpendingService;
    private final LookupTable mLookups;
    private final MembershipService mMembers;
    private final DaemonMetrics mMetrics;
    private final CallerServer mCallerServer;
    private final OperatorServer mOperatorServer;
    private final PlannedStop mPlannedStop;
    private final Logging mLogging;

    @Inject
    Daemon(
            Incarnation incarnation,
            @SteeringThread EventLoop steeringLoop,
            @OperationThread EventLoop operationLoop,
            SteeringService steeringService,
            BackendWatch backendWatch,
            NettyInstanceLinks links,
            ForwardReceiver forwardReceiver,
            OperationReceiver operationReceiver,
            ConfigurationHolder configuration,
            ConfigurationService configurationService,
            SpendingService spendingService,
            LookupTable lookups,
            MembershipService members,
            DaemonMetrics metrics,
            CallerServer callerServer,
            OperatorServer operatorServer,
            PlannedStop stop,
            Logging logging) {
        mIncarnation = incarnation;
        mSteeringLoop = steeringLoop;
        mOperationLoop = operationLoop;
        mSteeringService = steeringService;
        mBackendWatch = backendWatch;
        mLinks = links;
        mForwardReceiver = forwardReceiver;
        mOperationReceiver = operationReceiver;
        mConfiguration = configuration;
        mConfigurationService = configurationService;
        mSpendingService = spendingService;
        mLookups = lookups;
        mMembers = members;
        mMetrics = metrics;
        mCallerServer = callerServer;
        mOperatorServer = operatorServer;
        mPlannedStop = stop;
        mLogging = logging;
    }

    /**
     * Starts all parts and registers a shutdown hook for the planned stop. The hook ends the
     * process with exit code 0 if the planned stop was complete and 1 otherwise.
     *
     * @return {@link #RUNNING}
     */
    public int start() {
        mForwardReceiver.register(mLinks);
        mOperationReceiver.register(mLinks);
        mBackendWatch.follow(mSteeringLoop);
        mSteeringLoop.start();
        mOperationLoop.start();
        mSpendingService.start();
        mConfiguration.addListener(this::onConfiguration);
        mMembers.setHeadroomSupplier(this::ownHeadroom);
        mMembers.addHeadroomListener(this::onHeadroom);
        mMembers.addListener(this::onMembersChanged);
        mLinks.start();
        mMetrics.control()
                .watchLinks(
                        () -> mLinks.statistics().controlBytesWritten(),
                        () -> mLinks.statistics().controlBytesRead(),
                        () -> mLinks.statistics().answersNotAwaited());
        mMetrics.control().watchHeartbeats(mMembers::rejectedHeartbeats);
        mMembers.start();
        mConfigurationService.start();
        mOperatorServer.start();
        mCallerServer.start();
        onMembersChanged(mMembers.view());
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "planned-stop"));
        sLogger.info("PROCESS  Instance {} is serving.", mIncarnation);
        return RUNNING;
    }

    private void stop() {
        sLogger.info("PROCESS  Instance {} is stopping as planned.", mIncarnation);
        boolean complete = mPlannedStop.stop();
        mCallerServer.close();
        mOperatorServer.close();
        mMembers.close();
        mConfigurationService.close();
        mSpendingService.close();
        mOperationLoop.close();
        mSteeringLoop.close();
        mLinks.close();
        sLogger.info("PROCESS  Instance {} has stopped.", mIncarnation);
        mLogging.close();
        Runtime.getRuntime().halt(complete ? 0 : 1);
    }

    private void onConfiguration(Configuration configuration) {
        mSteeringService.configure(configuration);
        mSpendingService.configure(configuration);
        mLookups.configure(configuration);
        mMembers.configure(configuration);
        mMetrics.allowNamesOf(configuration.content());
        mMetrics.configuration().updateVersion(configuration.version());
        sLogger.info("CONFIG  Version {} is in force.", configuration.version());
    }

    private void onMembersChanged(MembershipView view) {
        mSteeringService.updateMembers(view);
        mLookups.updateMembers(view.members());
        mSpendingService.updateHolderCount(view.live().size());
        mMetrics.control().updatePeerCount(view.live().size() - 1);
    }

    private List<HeadroomEntry> ownHeadroom() {
        return mSteeringService.ownHeadrooms().entrySet().stream()
                .map(each -> ForwardCodec.toEntry(each.getKey(), each.getValue()))
                .toList();
    }

    private void onHeadroom(InstanceId from, List<HeadroomEntry> entries) {
        for (HeadroomEntry entry : entries) {
            try {
                Shard shard = ForwardCodec.toShard(entry);
                Headroom headroom = ForwardCodec.toHeadroom(entry);
                mSteeringService.updateHeadroom(shard, headroom);
            } catch (IllegalArgumentException e) {
                sLogger.warn(
                        "INSTANCE  Instance {} reported invalid headroom: {}",
                        from,
                        e.getMessage());
            }
        }
    }
}
