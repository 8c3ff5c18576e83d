package io.masticpond.measure.hostile;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationChange;
import io.masticpond.core.configuration.ConfigurationHead;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.ConfigurationLogLimits;
import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.caller.RequestIdGenerator;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.operator.ConfigurationRoutes;
import io.masticpond.daemon.operator.OperatorServer;
import io.masticpond.daemon.operator.OperatorSettings;
import io.masticpond.daemon.operator.OperatorToken;
import io.masticpond.daemon.settings.DaemonSettings.CallerSettings;
import io.masticpond.daemon.settings.SettingsReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Factory methods for the targets, in the order in which they are fed. */
final class HostileTargets {

    private static final int DOCUMENT_INPUTS = 12_000;
    private static final int TEXT_INPUTS = 20_000;
    private static final int REQUEST_INPUTS = 5_000;
    private static final int CONNECTION_INPUTS = 4_000;
    private static final int MAXIMUM_LOG_BYTES = 10_000;
    private static final String SECRET = "a-token-of-the-measure";
    private static final ConfigurationCodec sCodec = new ConfigurationCodec();

    private HostileTargets() {}

    /** Factory that creates a target just before it is fed. */
    interface Factory {
        HostileTarget create() throws Exception;
    }

    static List<Factory> all() {
        return List.of(
                HostileTargets::settings,
                HostileTargets::intents,
                HostileTargets::platformObjects,
                HostileTargets::clientBlocks,
                HostileTargets::operationKeys,
                ConfigurationUpdateTarget::new,
                HostileTargets::operatorRequests,
                HostileTargets::callerRequests,
                HostileTargets::linkFrames,
                PlatformAnswerTarget::new);
    }

    private static HostileTarget settings() {
        SettingsReader reader = new SettingsReader();
        return new DocumentTarget(
                "settings",
                List.of(bytes(HostileSamples.SETTINGS)),
                DOCUMENT_INPUTS,
                input -> reader.parse("settings", new String(input, StandardCharsets.UTF_8)));
    }

    private static HostileTarget intents() {
        ConfigurationPlanner planner = new ConfigurationPlanner(PlanObservations.NONE);
        return new DocumentTarget(
                "intents of operators",
                List.of(bytes(HostileSamples.INTENT), bytes(HostileSamples.CHANGE)),
                DOCUMENT_INPUTS,
                input ->
                        sCodec.decodeIntent(input)
                                .peek(intent -> plan(planner, intent).peek(sCodec::encode)));
    }

    private static HostileTarget platformObjects() {
        ConfigurationIntent intent =
                sCodec.decodeIntent(bytes(HostileSamples.INTENT))
                        .getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
        Plan plan =
                plan(new ConfigurationPlanner(PlanObservations.NONE), intent)
                        .getOrElseThrow(faults -> new IllegalStateException(faults.toString()));
        ConfigurationHead head =
                ConfigurationHead.EMPTY.append(
                        plan, new ConfigurationLogLimits(MAXIMUM_LOG_BYTES, change -> 1));
        return new DocumentTarget(
                "objects of the platform",
                List.of(sCodec.encode(head), sCodec.encode(plan)),
                DOCUMENT_INPUTS,
                input -> {
                    sCodec.decode(input, ConfigurationHead.class)
                            .peek(decoded -> decoded.advance(Configuration.EMPTY));
                    sCodec.decode(input, Plan.class);
                    sCodec.decode(input, ConfigurationChange.class);
                });
    }

    private static HostileTarget clientBlocks() {
        return new DocumentTarget(
                "client blocks",
                List.of(bytes("10.1.0.0/16"), bytes("2001:db8::/32"), bytes("::ffff:1.2.3.4/128")),
                TEXT_INPUTS,
                input -> ClientBlock.parse(new String(input, StandardCharsets.UTF_8)));
    }

    private static HostileTarget operationKeys() {
        OperationKey sample =
                new OperationKey(HostileSamples.INCARNATION, 7, 1_796_228_090_462L, "abc-DEF_123");
        return new DocumentTarget(
                "operation keys",
                List.of(bytes(sample.toString())),
                TEXT_INPUTS,
                input -> {
                    String text = new String(input, StandardCharsets.UTF_8);
                    OperationKey.parse(text);
                });
    }

    private static HostileTarget operatorRequests() {
        OperatorServer server =
                new OperatorServer(
                                new OperatorSettings(
                                        "127.0.0.1",
                                        0,
                                        List.of(new OperatorToken("ops", SECRET)),
                                        OperatorSettings.DEFAULT_MAXIMUM_BODY_BYTES),
                                Set.of(new ConfigurationRoutes(new PlanningCommands(), sCodec)))
                        .start();
        return new SocketTarget(
                "requests of operators",
                server.port(),
                HostileSamples.operatorRequests(SECRET),
                REQUEST_INPUTS,
                server);
    }

    private static HostileTarget callerRequests() throws IOException {
        int port = freePort();
        CallerSettings settings =
                new CallerSettings("127.0.0.1:" + port, null, null, null, 1_000, null, null);
        CallerServer server =
                new CallerServer(
                        settings,
                        new RefusingCallerService(),
                        new RequestIdGenerator(1),
                        new RequestIntake(),
                        new SystemTimeSource());
        server.start();
        return new SocketTarget(
                "requests of callers",
                port,
                HostileSamples.callerRequests(),
                REQUEST_INPUTS,
                server);
    }

    private static HostileTarget linkFrames() {
        KeyRing keys = new KeyRing("one", Map.of("one", bytes(SECRET)));
        NettyInstanceLinks links =
                new NettyInstanceLinks(
                        HostileSamples.INCARNATION,
                        LinkSettings.of("127.0.0.1:0", keys),
                        new SystemTimeSource(),
                        1);
        int port = links.start().getPort();
        return new SocketTarget(
                "frames of instances", port, HostileSamples.frames(), CONNECTION_INPUTS, links);
    }

    static io.vavr.control.Either<?, Plan> plan(
            ConfigurationPlanner planner, ConfigurationIntent intent) {
        return planner.plan(intent, Configuration.EMPTY, new PlanId("plan"), "ops", Instant.EPOCH);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
