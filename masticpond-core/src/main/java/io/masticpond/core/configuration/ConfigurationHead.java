package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Head of the chain of versions: the single object at the platform that determines which plans are
 * accepted.
 *
 * <p>It contains the newest version, the log of the last changes, the checkpoint to which the log
 * applies, and the recently accepted plans with their versions. A small change therefore requires
 * only one conditional write of the head; the whole content is written only when the log has become
 * long.
 *
 * @param version the newest accepted version
 * @param checkpoint the content to which the log applies
 * @param log the last changes without a gap, the last of which results in {@code version}; it
 *     reaches back at least to the checkpoint
 * @param recentPlans the recently accepted plans, the newest last
 * @since 0.1
 */
public record ConfigurationHead(
        ConfigurationVersion version,
        ConfigurationCheckpoint checkpoint,
        List<ConfigurationLogEntry> log,
        List<AcceptedPlan> recentPlans) {

    /** The maximum number of accepted plans in the head. */
    public static final int RECENT_PLANS = 512;

    /** The head before the first version. */
    public static final ConfigurationHead EMPTY =
            new ConfigurationHead(
                    ConfigurationVersion.NONE, ConfigurationCheckpoint.EMPTY, List.of(), List.of());

    /** Validates that the log has no gap and reaches from the checkpoint to the version. */
    public ConfigurationHead {
        Assert.notNull(version, "A configuration version");
        checkpoint = checkpoint == null ? ConfigurationCheckpoint.EMPTY : checkpoint;
        log = ConfigurationContent.copyOf(log);
        recentPlans = ConfigurationContent.copyOf(recentPlans);
        long first = version.number() - log.size();
        for (int i = 0; i < log.size(); i++) {
            Assert.isTrue(
                    log.get(i).version().number() == first + i + 1,
                    "The log of version %s has version %s at place %d.",
                    version,
                    log.get(i).version(),
                    i);
        }
        Assert.isTrue(
                first <= checkpoint.version().number()
                        && checkpoint.version().number() <= version.number(),
                "The log of version %s does not reach the checkpoint %s.",
                version,
                checkpoint.version());
    }

    /**
     * Returns the version that a plan produced.
     *
     * @param plan the plan
     * @return the version, or empty if the plan is not among the recent ones
     */
    public Optional<ConfigurationVersion> versionOf(PlanId plan) {
        return recentPlans.stream()
                .filter(accepted -> accepted.plan().equals(plan))
                .map(AcceptedPlan::version)
                .findFirst();
    }

    /**
     * Determines whether a plan that was made on a version would be among the recent plans if it
     * had been accepted.
     *
     * @param base the version that the plan was made on
     * @return {@code true} if the absence of the plan proves that it was not accepted
     */
    public boolean hasAllPlansSince(ConfigurationVersion base) {
        return version.number() - recentPlans.size() <= base.number();
    }

    /**
     * Returns the changes since a version.
     *
     * @param known the version
     * @return the changes, an empty list if there are none, or an empty optional if the log does
     *     not reach back to the version
     */
    public Optional<List<ConfigurationLogEntry>> since(ConfigurationVersion known) {
        long missing = version.number() - known.number();
        if (missing > log.size()) {
            return Optional.empty();
        }
        return Optional.of(log.subList((int) (log.size() - Math.max(0, missing)), log.size()));
    }

    /**
     * Advances a known configuration to the version of this head.
     *
     * @param known a configuration of the chain, not later than this head
     * @return the configuration of this head, or empty if the log does not reach back to the known
     *     version or that version is later
     */
    public Optional<Configuration> advance(Configuration known) {
        Optional<List<ConfigurationLogEntry>> entries = since(known.version());
        if (entries.isEmpty() || known.version().isAfter(version)) {
            return Optional.empty();
        }
        Configuration configuration = known;
        for (ConfigurationLogEntry entry : entries.get()) {
            configuration = entry.applyTo(configuration);
        }
        return Optional.of(configuration);
    }

    /**
     * Appends a plan whose base is the version of this head.
     *
     * @param plan the plan
     * @param limits the limits of the log's size
     * @return the next head; its checkpoint has the next version if a whole content must be written
     *     first
     */
    public ConfigurationHead append(Plan plan, ConfigurationLogLimits limits) {
        Assert.isTrue(
                plan.base().equals(version),
                "The plan %s was made on version %s, not on %s.",
                plan.id(),
                plan.base(),
                version);
        ConfigurationVersion next = version.next();
        List<ConfigurationLogEntry> extendedLog = new ArrayList<>(log);
        extendedLog.add(new ConfigurationLogEntry(next, plan.id(), plan.change()));
        List<AcceptedPlan> plans = new ArrayList<>(recentPlans);
        plans.add(new AcceptedPlan(plan.id(), next));
        List<AcceptedPlan> retainedPlans = newest(plans, RECENT_PLANS);
        List<ConfigurationLogEntry> trimmed = limits.trim(extendedLog);
        if (next.number() - trimmed.size() <= checkpoint.version().number()) {
            return new ConfigurationHead(next, checkpoint, trimmed, retainedPlans);
        }
        ConfigurationCheckpoint newCheckpoint =
                new ConfigurationCheckpoint(next, plan.id().value(), List.of());
        return new ConfigurationHead(next, newCheckpoint, trimmed, retainedPlans);
    }

    /**
     * Returns a copy of this head with the names of the parts of its checkpoint, once these are
     * written.
     *
     * @param parts the names of the parts
     * @return the copy
     */
    public ConfigurationHead withCheckpointParts(List<String> parts) {
        return new ConfigurationHead(
                version,
                new ConfigurationCheckpoint(checkpoint.version(), checkpoint.plan(), parts),
                log,
                recentPlans);
    }

    private static <T> List<T> newest(List<T> entries, int count) {
        return entries.subList(Math.max(0, entries.size() - count), entries.size());
    }
}
