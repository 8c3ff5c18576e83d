package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.configuration.ConfigurationChange;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.ConfigurationRemoval;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.configuration.FakeFleet.Node;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * Tests of the distribution and the confirmation of configurations under failures, with real
 * services.
 */
class ConfigurationServiceTest {

    private final FakeObjectStore mStore = new FakeObjectStore();
    private final FakeFleet mFleet = new FakeFleet(mStore);

    @AfterTry
    void stop() {
        mFleet.close();
    }

    @Example
    void resolvesLostAnswerAndReturnsSameVersionOnSecondConfirmation() {
        Node node = mFleet.start("a", "casa-1");
        Node other = mFleet.start("b", "fes-1");
        Plan plan = expectSuccess(plan(node, region("casa")));
        mStore.loseAnswersOf(key -> key.equals(ChainStore.HEAD));
        Assert.isTrue(
                expectSuccess(confirm(node, plan)).number() == 1,
                "The plan became a different version.");
        long writes = mStore.writes();
        Assert.isTrue(
                expectSuccess(confirm(other, plan)).number() == 1,
                "The other instance returned a different version.");
        Assert.isTrue(mStore.writes() == writes, "The plan was written again.");
    }

    /**
     * Guards against a version that callers have seen but that is never looked for, because it was
     * reported while an earlier one was looked for.
     */
    @Example
    void looksForHigherVersionThatIsSeenMeanwhile() throws InterruptedException {
        CountDownLatch readAgain = new CountDownLatch(1);
        List<SeeingStore> stores = new ArrayList<>();
        // The instance that watches the platform does not read it; the others do.
        for (String id : List.of("a", "b", "c")) {
            SeeingStore store = new SeeingStore(mStore, readAgain);
            Node node = mFleet.start(id, "casa-1", store.proxy());
            awaitReady(node);
            store.mService = node.service();
            stores.add(store);
        }
        stores.forEach(store -> store.mService.onVersionSeen(5));
        Assert.isTrue(
                readAgain.await(20, TimeUnit.SECONDS), "The higher version was not looked for.");
    }

    /** Store that reports a higher version to its service while the first read is made. */
    private static final class SeeingStore {

        private final ObjectStore mDelegate;
        private final CountDownLatch mReadAgain;
        private volatile ConfigurationService mService;
        private int mReads;

        SeeingStore(ObjectStore delegate, CountDownLatch readAgain) {
            mDelegate = delegate;
            mReadAgain = readAgain;
        }

        ObjectStore proxy() {
            return (ObjectStore)
                    Proxy.newProxyInstance(
                            ObjectStore.class.getClassLoader(),
                            new Class<?>[] {ObjectStore.class},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("read") && mService != null) {
                                    onRead();
                                }
                                return method.invoke(mDelegate, arguments);
                            });
        }

        private synchronized void onRead() {
            mReads++;
            if (mReads == 1) {
                mService.onVersionSeen(7);
            } else {
                mReadAgain.countDown();
            }
        }
    }

    private static void awaitReady(Node node) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!node.service().isReady()) {
            Assert.isTrue(System.nanoTime() < end, "The service did not become ready.");
            Thread.yield();
        }
    }

    @Example
    void rejectsSecondPlanOnSameBaseWithDifferences() {
        Node first = mFleet.start("a", "casa-1");
        Node second = mFleet.start("b", "fes-1");
        Plan winner = expectSuccess(plan(first, region("casa")));
        Plan loser = expectSuccess(plan(second, region("fes")));
        expectSuccess(confirm(first, winner));
        ConfigurationError error = confirm(second, loser).getLeft();
        Assert.isTrue(
                error instanceof ConfigurationError.BaseChanged changed
                        && changed.differences().toString().contains("regions[casa]"),
                "The error was %s.",
                error);
    }

    @Example
    void confirmsPlanOfStoppedInstance() {
        Node maker = mFleet.start("a", "casa-1");
        Plan plan = expectSuccess(plan(maker, region("casa")));
        mFleet.stop(maker);
        Node other = mFleet.start("b", "fes-1");
        Assert.isTrue(
                expectSuccess(confirm(other, plan)).number() == 1, "The plan was not accepted.");
    }

    @Example
    void distributesEachVersionToAllInstancesAndRelaysToDisconnectedZones() {
        mFleet.cutFromPlatform("agadir-1");
        mFleet.cut("agadir-1", "casa-1");
        List<Node> nodes = new ArrayList<>();
        for (String zone : List.of("casa-1", "fes-1", "agadir-1")) {
            for (int i = 0; i < 4; i++) {
                nodes.add(mFleet.start(zone + "-" + i, zone));
            }
        }
        for (int i = 1; i <= 5; i++) {
            Plan plan = expectSuccess(plan(nodes.get(i % 8), region("r" + i)));
            expectSuccess(confirm(nodes.get(i % 8), plan));
            int version = i;
            nodes.forEach(node -> node.await(version));
        }
        Assert.isTrue(
                nodes.stream()
                        .allMatch(node -> node.holder().current().content().regions().size() == 5),
                "The contents differ.");
    }

    @Example
    void newInstanceFetchesHighestVersionOfPeersWhenPlatformIsUnavailable() {
        Node old = mFleet.start("a", "casa-1");
        expectSuccess(confirm(old, expectSuccess(plan(old, region("casa")))));
        mStore.setUnavailable(true);
        Node fresh = mFleet.start("b", "casa-1");
        fresh.await(1);
        mFleet.stop(old);
        Node next = mFleet.start("a", "casa-1");
        next.await(1);
        ConfigurationError error = plan(next, region("fes")).getLeft();
        Assert.isTrue(
                error instanceof ConfigurationError.PlatformUnavailable,
                "The error was %s.",
                error);
    }

    @Example
    void soleInstanceIsNotReadyWhenPlatformIsUnavailable() {
        mStore.setUnavailable(true);
        Node node = mFleet.start("a", "casa-1");
        Assert.isTrue(plan(node, region("casa")).isLeft(), "A plan was made.");
        Assert.isTrue(!node.service().isReady(), "The instance reported that it was ready.");
        mStore.setUnavailable(false);
        Node other = mFleet.start("b", "casa-1");
        expectSuccess(confirm(other, expectSuccess(plan(other, region("casa")))));
        node.await(1);
    }

    @Example
    void splitsLargeContentIntoPartsThatAnotherInstanceReads() {
        Node node = mFleet.start("a", "casa-1");
        ConfigurationContent content = large();
        Either<ConfigurationError, Plan> plan =
                plan(node, new ConfigurationIntent.Replace(content));
        expectSuccess(confirm(node, expectSuccess(plan)));
        long parts =
                mStore.names(ObjectKind.CONFIGURATION).stream()
                        .filter(name -> name.startsWith("checkpoint-"))
                        .count();
        Assert.isTrue(parts > 1, "There are %d parts.", parts);
        mFleet.stop(node);
        Node other = mFleet.start("b", "casa-1");
        other.await(1);
        Assert.isTrue(other.holder().current().content().equals(content), "The content differs.");
    }

    @Example
    void rejectsPlanWhenPlatformLostVersionsAndKeepsVersionInForce() {
        Node node = mFleet.start("a", "casa-1");
        expectSuccess(confirm(node, expectSuccess(plan(node, region("casa")))));
        byte[] first = mStore.valueOf(ChainStore.HEAD);
        expectSuccess(confirm(node, expectSuccess(plan(node, region("fes")))));
        mStore.replace(ChainStore.HEAD, first);
        ConfigurationError error = plan(node, region("agadir")).getLeft();
        Assert.isTrue(error instanceof ConfigurationError.ChainBehind, "The error was %s.", error);
        Assert.isTrue(
                node.holder().current().version().number() == 2,
                "Version %s is in force.",
                node.holder().current().version());
    }

    @Example
    void deletesPartsOfOldCheckpoints() {
        Node node = mFleet.start("a", "casa-1");
        for (int i = 0; i < 5; i++) {
            expectSuccess(
                    confirm(
                            node,
                            expectSuccess(
                                    plan(
                                            node,
                                            new ConfigurationIntent.Replace(blocks(i, 3_000))))));
        }
        node.await(5);
        List<String> remaining =
                mStore.names(ObjectKind.CONFIGURATION).stream()
                        .filter(name -> name.startsWith("checkpoint-"))
                        .map(name -> name.substring(0, "checkpoint-000000000000000".length()))
                        .distinct()
                        .toList();
        Assert.isTrue(remaining.size() <= 2, "The remaining checkpoints are %s.", remaining);
    }

    @Example
    void reportsUnknownPlan() {
        Node node = mFleet.start("a", "casa-1");
        ConfigurationError error =
                node.commands().confirm(new PlanId("none"), "ops").join().getLeft();
        Assert.isTrue(error instanceof ConfigurationError.UnknownPlan, "The error was %s.", error);
    }

    private static ConfigurationIntent region(String name) {
        ConfigurationContent put =
                new ConfigurationContent(
                        List.of(
                                new RegionSpecification(
                                        new RegionId(name), List.of(new ZoneId(name + "-1")))),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
        return new ConfigurationIntent.Merge(
                new ConfigurationChange(put, ConfigurationRemoval.NONE));
    }

    /** Returns client blocks that compress badly, so that several parts are needed. */
    private static ConfigurationContent large() {
        return blocks(5, 150_000);
    }

    private static ConfigurationContent blocks(int seed, int count) {
        Random random = new Random(seed);
        List<ClientBlockSpecification> blocks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String block =
                    String.format(
                            "2001:db8:%x:%x:%x:%x::/96",
                            i >>> 16, i & 0xffff, random.nextInt(65_536), random.nextInt(65_536));
            blocks.add(new ClientBlockSpecification(block, new SiteId("s")));
        }
        return new ConfigurationContent(
                List.of(new RegionSpecification(new RegionId("r"), List.of(new ZoneId("z")))),
                List.of(),
                List.of(),
                List.of(new SiteSpecification(new SiteId("s"), new ZoneId("z"))),
                blocks);
    }

    private static <T> T expectSuccess(Either<ConfigurationError, T> result) {
        return result.getOrElseThrow(error -> new AssertionError(error.toString()));
    }

    private static Either<ConfigurationError, Plan> plan(Node node, ConfigurationIntent intent) {
        return node.commands().plan(intent, "ops").join();
    }

    private static Either<ConfigurationError, ConfigurationVersion> confirm(Node node, Plan plan) {
        return node.commands().confirm(plan.id(), "ops").join();
    }
}
