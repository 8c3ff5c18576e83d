package io.masticpond.entry.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.settings.EntrySettings;
import javax.inject.Singleton;

/**
 * Dagger component that creates all parts of an instance.
 *
 * @since 0.2
 */
@Singleton
@Component(
        modules = {
            ProcessModule.class,
            ControlModule.class,
            TrafficModule.class,
            LifecycleModule.class
        })
public interface EntryComponent {

    /**
     * Returns the instance.
     *
     * @return the instance, not started yet
     */
    EntryInstance instance();

    /** Factory that binds the objects created outside of the component. */
    @Component.Factory
    interface Factory {

        /**
         * Creates a component.
         *
         * @param settings the settings of this instance
         * @param platform the adapter to the formats and interfaces of the platform
         * @param timeSource the time source
         * @param log the log of decisions and of changes of the instance's view
         * @param lines the counters of the lines of that log
         * @param exit ends the process after a planned stop
         * @return the component
         */
        EntryComponent create(
                @BindsInstance EntrySettings settings,
                @BindsInstance PlatformAdapter platform,
                @BindsInstance TimeSource timeSource,
                @BindsInstance @WrittenLog DecisionLog log,
                @BindsInstance LineCounts lines,
                @BindsInstance @ProcessEnd Runnable exit);
    }
}
