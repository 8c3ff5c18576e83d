package io.masticpond.daemon.instance;

import io.masticpond.core.support.Assert;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Utility methods for parsing addresses of the form "ip:port". Host names are not resolved.
 *
 * @since 0.1
 */
public final class SocketAddresses {

    private static final int MAXIMUM_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Parses an address.
     *
     * @param text the text, such as "10.0.0.1:7400" or "[::1]:7400"
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        Assert.isTrue(colon > 0, "An address must be 'ip:port', but was '%s'.", text);
        InetAddress ip = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        int port = parsePort(text.substring(colon + 1));
        Assert.isTrue(
                ip != null && port >= 0 && port <= MAXIMUM_PORT,
                "An address must be 'ip:port', but was '%s'.",
                text);
        return new InetSocketAddress(ip, port);
    }

    /**
     * Returns whether a text is an address with a port above 0.
     *
     * @param text the text
     * @return whether it has the form "ip:port" and its port is not 0
     */
    public static boolean isAddress(String text) {
        try {
            return parse(text).getPort() > 0;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
