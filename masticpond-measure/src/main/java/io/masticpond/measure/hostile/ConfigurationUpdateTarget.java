package io.masticpond.measure.hostile;

import com.google.protobuf.ByteString;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.configuration.ConfigurationService;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.zip.DeflaterOutputStream;

/** Target that feeds messages of a faulty peer instance to the {@link ConfigurationService}. */
final class ConfigurationUpdateTarget implements HostileTarget, ConfigurationPeers {

    private static final int INPUTS = 25_000;
    private static final InstanceId PEER = new InstanceId("entry-2");

    private final ConfigurationCodec mCodec = new ConfigurationCodec();
    private final ConfigurationHolder mHolder = new ConfigurationHolder();
    private final ConfigurationService mService =
            new ConfigurationService(
                    new InstanceId("entry-1"),
                    new ZoneId("casa-1"),
                    unavailablePlatform(),
                    this,
                    mHolder,
                    mCodec,
                    new SystemTimeSource(),
                    Timeline.NONE);
    private Handler mHandler;
    private long mInputCount;

    ConfigurationUpdateTarget() {
        mService.start();
    }

    @Override
    public String name() {
        return "news of instances";
    }

    @Override
    public int inputs() {
        return INPUTS;
    }

    @Override
    public List<byte[]> samples() {
        Configuration next =
                new Configuration(
                        mHolder.current().version().next(),
                        Optional.of(new PlanId("plan")),
                        ConfigurationContent.EMPTY);
        return List.of(mCodec.encode(ConfigurationUpdate.of(next)));
    }

    /** Feeds one document as a push; every third one is sent as it is, without being deflated. */
    @Override
    public void feed(byte[] input) throws IOException {
        mInputCount++;
        byte[] document = mInputCount % 3 == 0 ? input : deflate(input);
        mHandler.onPush(
                PEER,
                ConfigurationPush.newBuilder()
                        .setVersion(mHolder.current().version().number() + 1)
                        .setDocument(ByteString.copyFrom(document))
                        .build());
        CompletableFuture<ConfigurationPush> processed = new CompletableFuture<>();
        mHandler.onFetch(
                ConfigurationFetch.newBuilder().setKnownVersion(-mInputCount).build(),
                processed::complete);
        processed.join();
    }

    @Override
    public Collection<Member> members() {
        return List.of();
    }

    @Override
    public void push(InstanceId to, ConfigurationPush push) {
        throw new IllegalStateException("This target has no peers to push to.");
    }

    @Override
    public CompletableFuture<Optional<ConfigurationPush>> fetch(
            InstanceId from, ConfigurationFetch fetch) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public void setHandler(Handler handler) {
        mHandler = handler;
    }

    @Override
    public void close() {
        mService.close();
    }

    private static byte[] deflate(byte[] document) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(output)) {
            deflater.write(document);
        }
        return output.toByteArray();
    }

    private static ObjectStore unavailablePlatform() {
        PlatformError unavailable = new PlatformError.Away("The platform is unavailable.");
        return (ObjectStore)
                Proxy.newProxyInstance(
                        ObjectStore.class.getClassLoader(),
                        new Class<?>[] {ObjectStore.class},
                        (proxy, method, arguments) ->
                                CompletableFuture.completedFuture(Either.left(unavailable)));
    }
}
