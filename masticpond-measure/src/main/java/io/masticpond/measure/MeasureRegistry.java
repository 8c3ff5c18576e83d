package io.masticpond.measure;

import io.masticpond.measure.configuration.ConfigurationMeasure;
import io.masticpond.measure.control.ControlCostMeasure;
import io.masticpond.measure.decision.DecisionMeasure;
import io.masticpond.measure.drain.DrainMeasure;
import io.masticpond.measure.hostile.HostileInputMeasure;
import io.masticpond.measure.logging.LoggingMeasure;
import io.masticpond.measure.lookup.DirectoryMeasure;
import io.masticpond.measure.lookup.LookupsMeasure;
import io.masticpond.measure.operation.AnswersMeasure;
import io.masticpond.measure.operation.OnceOnlyMeasure;
import io.masticpond.measure.platform.PlatformClientMeasure;
import io.masticpond.measure.rate.WorkspaceRatesMeasure;
import io.masticpond.measure.region.PartitionMeasure;
import io.masticpond.measure.region.RegionFailoverMeasure;
import io.masticpond.measure.replacement.CrashStormMeasure;
import io.masticpond.measure.replacement.RollingRestartMeasure;
import io.masticpond.measure.spending.SpendingCapMeasure;
import io.masticpond.measure.tail.SteeringTailMeasure;
import java.util.List;
import java.util.Optional;

/**
 * Registry of the available measures, in the order in which they run.
 *
 * @since 0.1
 */
public final class MeasureRegistry {

    private static final List<Measure> MEASURES =
            List.of(
                    new SteeringTailMeasure(),
                    new ControlCostMeasure(),
                    new OnceOnlyMeasure(),
                    new AnswersMeasure(),
                    new RegionFailoverMeasure(),
                    new PartitionMeasure(),
                    new LookupsMeasure(),
                    new DirectoryMeasure(),
                    new DrainMeasure(),
                    new PlatformClientMeasure(),
                    new ConfigurationMeasure(),
                    new HostileInputMeasure(),
                    new SpendingCapMeasure(),
                    new RollingRestartMeasure(),
                    new CrashStormMeasure(),
                    new LoggingMeasure(),
                    new DecisionMeasure(),
                    new WorkspaceRatesMeasure());

    private MeasureRegistry() {}

    /**
     * Returns all measures.
     *
     * @return the measures in the order in which they run
     */
    public static List<Measure> all() {
        return MEASURES;
    }

    /**
     * Finds a measure by name.
     *
     * @param name the name as on the command line
     * @return the measure, or empty if no measure has this name
     */
    public static Optional<Measure> find(String name) {
        return MEASURES.stream().filter(measure -> measure.name().equals(name)).findFirst();
    }
}
