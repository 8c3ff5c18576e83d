package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Handler of the signals to stop and to reload the settings. It replaces the handlers of the JVM,
 * which would exit at both.
 *
 * @since 0.2
 */
public final class ProcessSignals {

    private static final List<String> STOP = List.of("TERM", "INT");
    private static final String RELOAD = "HUP";

    private ProcessSignals() {}

    /**
     * Installs handlers for the signals for the rest of the process. The actions run on threads of
     * the JVM and should hand over to a thread of the instance.
     *
     * @param onStop the action at SIGTERM and SIGINT; the process continues until it exits itself
     * @param onReload the action at SIGHUP
     */
    public static void handle(Runnable onStop, Runnable onReload) {
        Assert.notNull(onStop, "An action at a stop");
        Assert.notNull(onReload, "An action at a reload");
        STOP.forEach(
                name -> sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> onStop.run()));
        sun.misc.Signal.handle(new sun.misc.Signal(RELOAD), signal -> onReload.run());
    }
}
