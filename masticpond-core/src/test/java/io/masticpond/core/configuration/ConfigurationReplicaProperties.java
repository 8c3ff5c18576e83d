package io.masticpond.core.configuration;

import io.masticpond.core.configuration.ConfigurationReplica.ApplyResult;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Verifies that the version at an instance never decreases, for any updates in any order. */
class ConfigurationReplicaProperties {

    private static final int VERSIONS = 30;

    private final List<Configuration> mChain = new ArrayList<>();
    private final List<ConfigurationLogEntry> mEntries = new ArrayList<>();

    ConfigurationReplicaProperties() {
        mChain.add(Configuration.EMPTY);
        for (int i = 0; i < VERSIONS; i++) {
            Plan plan = ConfigurationFixture.plan("p" + i, i);
            ConfigurationLogEntry entry =
                    new ConfigurationLogEntry(
                            new ConfigurationVersion(i + 1), plan.id(), plan.change());
            mEntries.add(entry);
            mChain.add(entry.applyTo(mChain.get(i)));
        }
    }

    @Property(tries = 1_000, seed = "12")
    void versionsNeverDecreaseAndHaveContentOfChain(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 9_999) Integer> run) {
        ConfigurationReplica replica = new ConfigurationReplica(ConfigurationFixture.LIMITS);
        for (int choice : run) {
            ConfigurationVersion before = replica.current().version();
            ConfigurationUpdate update = update(choice);
            ApplyResult result = replica.apply(update);
            ConfigurationVersion after = replica.current().version();
            Assert.isTrue(!before.isAfter(after), "Version %s followed %s.", after, before);
            Assert.isTrue(
                    (result == ApplyResult.NEWER) == after.isAfter(before),
                    "%s was returned for versions %s and %s.",
                    result,
                    before,
                    after);
            Assert.isTrue(
                    replica.current().equals(mChain.get((int) after.number())),
                    "Version %s has another content.",
                    after);
        }
    }

    @Property(tries = 500, seed = "13")
    void updateFromOtherReplicaCatchesUp(
            @ForAll @IntRange(max = VERSIONS) int ahead,
            @ForAll @IntRange(max = VERSIONS) int lag) {
        ConfigurationReplica first = new ConfigurationReplica(ConfigurationFixture.LIMITS);
        ConfigurationReplica second = new ConfigurationReplica(ConfigurationFixture.LIMITS);
        mEntries.subList(0, ahead)
                .forEach(entry -> first.apply(ConfigurationUpdate.of(List.of(entry))));
        if (lag > 0) {
            second.apply(ConfigurationUpdate.of(mChain.get(lag)));
        }
        Optional<ConfigurationUpdate> update = first.updateSince(second.current().version());
        Assert.isTrue(update.isPresent() == (ahead > lag), "The update was %s.", update);
        update.ifPresent(second::apply);
        Assert.isTrue(
                second.current().equals(mChain.get(Math.max(ahead, lag))),
                "The other replica has version %s.",
                second.current().version());
    }

    @Example
    void missingChangesAreNotSkipped() {
        ConfigurationReplica replica = new ConfigurationReplica(ConfigurationFixture.LIMITS);
        ApplyResult result = replica.apply(ConfigurationUpdate.of(mEntries.subList(1, 3)));
        Assert.isTrue(result == ApplyResult.GAP, "It was %s.", result);
        Assert.isTrue(
                replica.current().equals(Configuration.EMPTY), "The changes were skipped over.");
    }

    private ConfigurationUpdate update(int choice) {
        int from = choice % VERSIONS;
        int to = Math.min(VERSIONS, from + 1 + choice / VERSIONS % 5);
        return choice % 7 == 0 && from > 0
                ? ConfigurationUpdate.of(mChain.get(from))
                : ConfigurationUpdate.of(mEntries.subList(from, to));
    }
}
