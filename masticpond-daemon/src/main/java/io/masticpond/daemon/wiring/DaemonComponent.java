package io.masticpond.daemon.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.settings.DaemonSettings;
import javax.inject.Singleton;

/**
 * Dagger component that wires all parts of a daemon.
 *
 * @since 0.1
 */
@Singleton
@Component(
        modules = {
            FoundationModule.class,
            ObservationModule.class,
            PlatformModule.class,
            LinkModule.class,
            ConfigurationModule.class,
            MembershipModule.class,
            SteeringModule.class,
            SpendingModule.class,
            OperationModule.class,
            LifecycleModule.class,
            CallerModule.class
        })
public interface DaemonComponent {

    /**
     * Returns the daemon.
     *
     * @return the daemon, not started yet
     */
    Daemon daemon();

    /** Builder that accepts the objects created before the wiring. */
    @Component.Builder
    interface Builder {

        /**
         * Sets the settings.
         *
         * @param settings the validated settings
         * @return this
         */
        @BindsInstance
        Builder settings(DaemonSettings settings);

        /**
         * Sets the logging.
         *
         * @param logging the logging, already started
         * @return this
         */
        @BindsInstance
        Builder logging(Logging logging);

        /**
         * Builds the component.
         *
         * @return the component
         */
        DaemonComponent build();
    }
}
