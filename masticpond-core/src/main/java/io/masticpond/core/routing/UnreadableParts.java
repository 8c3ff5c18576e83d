package io.masticpond.core.routing;

import java.util.List;

/**
 * Parts of a configuration that could not be read, while the rest is in force.
 *
 * @param routes the routes whose requests are known
 * @param hasOtherRoutes whether there are routes whose requests are not known either
 * @param problems one sentence for each unreadable part, without any key
 * @since 0.3
 */
public record UnreadableParts(
        List<UnreadableRoute> routes, boolean hasOtherRoutes, List<String> problems) {

    /** All parts could be read. */
    public static final UnreadableParts NONE = new UnreadableParts(List.of(), false, List.of());

    /** Copies the lists. */
    public UnreadableParts {
        routes = List.copyOf(routes);
        problems = List.copyOf(problems);
    }
}
