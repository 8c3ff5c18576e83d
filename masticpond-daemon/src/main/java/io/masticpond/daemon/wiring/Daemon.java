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
 * The parts of one process, started in the order in which they need each other.
 *
 * @since 0.1
 */
@Singleton
public final class Daemon {

    /** Says that the daemon goes on running after its start. */
    public static final int RUNNING = -1;

    private static final Logger sLogger = LoggerFactory.getLogger(Daemon.class);

    private final Incarnation mIncarnation;
    private final EventLoop mSteering;
    private final EventLoop mOperations;
    private final SteeringService mSteeringKeeper;
    private final BackendWatch mBackendWatch;
    private final NettyInstanceLinks mLinks;
    private final ForwardReceiver mForwards;
    private final OperationReceiver mAsks;
    private final ConfigurationHolder mConfiguration;
    private final ConfigurationService mConfigurationDuty;
    private final SpendingService mSpending;
    private final LookupTable mLookups;
    private final MembershipService mMembers;
    private final DaemonMetrics mMetrics;
    private final CallerServer mCallers;
    private final OperatorServer mOperators;
    private final PlannedStop mStop;
    private final Logging mLogging;

    @Inject
    Daemon(
            Incarnation incarnation,
            @SteeringThread EventLoop steering,
            @OperationThread EventLoop operations,
            SteeringService steeringKeeper,
            BackendWatch backendWatch,
            NettyInstanceLinks links,
            ForwardReceiver forwards,
            OperationReceiver asks,
            ConfigurationHolder configuration,
            ConfigurationService configurationDuty,
            SpendingService spending,
            LookupTable lookups,
            MembershipService members,
            DaemonMetrics metrics,
            CallerServer callers,
            OperatorServer operators,
            PlannedStop stop,
            Logging logging) {
        mIncarnation = incarnation;
        mSteering = steering;
        mOperations = operations;
        mSteeringKeeper = steeringKeeper;
        mBackendWatch = backendWatch;
        mLinks = links;
        mForwards = forwards;
        mAsks = asks;
        mConfiguration = configuration;
        mConfigurationDuty = configurationDuty;
        mSpending = spending;
        mLookups = lookups;
        mMembers = members;
        mMetrics = metrics;
        mCallers = callers;
        mOperators = operators;
        mStop = stop;
        mLogging = logging;
    }

    /**
     * Starts all parts, and stops them as planned when the process is asked to end.
     *
     * @return {@link #RUNNING}
     */
    public int start() {
        mForwards.register(mLinks);
        mAsks.register(mLinks);
        mBackendWatch.follow(mSteering);
        mSteering.start();
        mOperations.start();
        mSpending.start();
        mConfiguration.addListener(this::configured);
        mMembers.setHeadroomSupplier(this::headroom);
        mMembers.addHeadroomListener(this::headroom);
        mMembers.addListener(this::membersChanged);
        mLinks.start();
        mMetrics.control()
                .watchLinks(
                        () -> mLinks.statistics().controlBytesWritten(),
                        () -> mLinks.statistics().controlBytesRead(),
                        () -> mLinks.statistics().answersNotAwaited());
        mMetrics.control().watchHeartbeats(mMembers::rejectedHeartbeats);
        mMembers.start();
        mConfigurationDuty.start();
        mOperators.start();
        mCallers.start();
        membersChanged(mMembers.view());
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "planned-stop"));
        sLogger.info("PROCESS  Instance {} serves.", mIncarnation);
        return RUNNING;
    }

    private void stop() {
        sLogger.info("PROCESS  Instance {} stops as planned.", mIncarnation);
        boolean whole = mStop.stop();
        mCallers.close();
        mOperators.close();
        mMembers.close();
        mConfigurationDuty.close();
        mSpending.close();
        mOperations.close();
        mSteering.close();
        mLinks.close();
        sLogger.info("PROCESS  Instance {} has stopped.", mIncarnation);
        mLogging.close();
        Runtime.getRuntime().halt(whole ? 0 : 1);
    }

    private void configured(Configuration configuration) {
        mSteeringKeeper.configure(configuration);
        mSpending.configure(configuration);
        mLookups.configure(configuration);
        mMembers.configure(configuration);
        mMetrics.allowNamesOf(configuration.content());
        mMetrics.configuration().updateVersion(configuration.version());
        sLogger.info("CONFIG  Version {} is in force.", configuration.version());
    }

    private void membersChanged(MembershipView view) {
        mSteeringKeeper.updateMembers(view);
        mLookups.updateMembers(view.members());
        mSpending.updateHolderCount(view.live().size());
        mMetrics.control().updatePeerCount(view.live().size() - 1);
    }

    private List<HeadroomEntry> headroom() {
        return mSteeringKeeper.ownHeadrooms().entrySet().stream()
                .map(each -> ForwardCodec.toEntry(each.getKey(), each.getValue()))
                .toList();
    }

    private void headroom(InstanceId from, List<HeadroomEntry> entries) {
        for (HeadroomEntry entry : entries) {
            try {
                Shard shard = ForwardCodec.toShard(entry);
                Headroom counts = ForwardCodec.toHeadroom(entry);
                mSteeringKeeper.updateHeadroom(shard, counts);
            } catch (IllegalArgumentException e) {
                sLogger.warn(
                        "INSTANCE  Instance {} told of bad headroom: {}", from, e.getMessage());
            }
        }
    }
}
