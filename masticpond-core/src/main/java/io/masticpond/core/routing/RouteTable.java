package io.masticpond.core.routing;

import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable lookup table that finds the route of a request.
 *
 * <p>Each host has a map of its routes by prefix. A lookup queries it for the path up to its last
 * slash, then up to the slash before, and so on; the first match is the longest prefix. The cost
 * depends on the depth of the path and not on the number of routes.
 *
 * @since 0.2
 */
public final class RouteTable {

    private static final String SCHEME_END = "://";
    private static final String ROOT = "/";

    private final Map<String, HostRoutes> mHosts = new HashMap<>();
    private final boolean mHasOtherRoutes;

    /**
     * Creates the table of a configuration.
     *
     * @param configuration the configuration with the routes; the first of two routes with the same
     *     host and prefix takes precedence
     */
    public RouteTable(RoutingConfiguration configuration) {
        Assert.notNull(configuration, "A routing configuration");
        for (Route route : configuration.routes()) {
            String host = hostName(route.host());
            mHosts.computeIfAbsent(host, ignored -> new HostRoutes())
                    .add(route.pathPrefix(), Optional.of(route));
        }
        for (UnreadableRoute route : configuration.unreadable().routes()) {
            String host = hostName(route.host());
            mHosts.computeIfAbsent(host, ignored -> new HostRoutes())
                    .add(route.pathPrefix(), Optional.empty());
        }
        mHasOtherRoutes = configuration.unreadable().hasOtherRoutes();
    }

    /**
     * Finds the route of a request: the route of its host with the longest prefix that matches the
     * path.
     *
     * @param hostHeader the host that the client specified, with or without a port
     * @param target the target of the request line; an absolute target specifies the host itself
     *     and takes precedence over the header
     * @return the route, or empty if none matches or the one that does could not be read
     */
    public Optional<Route> match(String hostHeader, String target) {
        return lookUp(hostHeader, target).flatMap(route -> route);
    }

    /**
     * Determines whether a request without a route may have one that could not be read.
     *
     * @param hostHeader the host that the client specified, with or without a port
     * @param target the target of the request line
     * @return {@code false} if there is certainly no route for the request
     */
    public boolean mayHaveUnreadableRoute(String hostHeader, String target) {
        return mHasOtherRoutes || lookUp(hostHeader, target).filter(Optional::isEmpty).isPresent();
    }

    /** Returns the entry with the longest prefix, which is empty if its route is unreadable. */
    private Optional<Optional<Route>> lookUp(String hostHeader, String target) {
        Assert.notNull(hostHeader, "A host");
        Assert.notNull(target, "A target");
        if (target.startsWith(ROOT)) {
            return find(hostHeader, target);
        }
        int scheme = target.indexOf(SCHEME_END);
        if (scheme <= 0) {
            return Optional.empty();
        }
        int hostStart = scheme + SCHEME_END.length();
        int hostEnd = hostEnd(target, hostStart);
        String pathAndQuery = target.substring(hostEnd);
        String path = pathAndQuery.startsWith(ROOT) ? pathAndQuery : ROOT + pathAndQuery;
        return find(target.substring(hostStart, hostEnd), path);
    }

    private Optional<Optional<Route>> find(String host, String target) {
        HostRoutes routes = mHosts.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        return Optional.ofNullable(
                routes.findLongestPrefix(target, query < 0 ? target.length() : query));
    }

    private static int hostEnd(String target, int start) {
        for (int index = start; index < target.length(); index++) {
            char character = target.charAt(index);
            if (character == '/' || character == '?') {
                return index;
            }
        }
        return target.length();
    }

    /**
     * Returns the host in lower case without a port. The colons of an address in brackets are
     * preserved.
     */
    private static String hostName(String host) {
        String text = host.strip().toLowerCase(Locale.ROOT);
        int colon = text.lastIndexOf(':');
        return colon < 0 || text.indexOf(']', colon) >= 0 ? text : text.substring(0, colon);
    }

    /** Routes of one host by prefix. */
    private static final class HostRoutes {

        private final Map<String, Optional<Route>> mByPrefix = new HashMap<>();
        private int mLongestPrefix;

        void add(String pathPrefix, Optional<Route> route) {
            mByPrefix.putIfAbsent(pathPrefix, route);
            mLongestPrefix = Math.max(mLongestPrefix, pathPrefix.length());
        }

        Optional<Route> findLongestPrefix(String target, int pathLength) {
            int slash = target.lastIndexOf('/', Math.min(pathLength, mLongestPrefix) - 1);
            while (slash >= 0) {
                Optional<Route> route = mByPrefix.get(target.substring(0, slash + 1));
                if (route != null) {
                    return route;
                }
                slash = target.lastIndexOf('/', slash - 1);
            }
            return null;
        }
    }
}
