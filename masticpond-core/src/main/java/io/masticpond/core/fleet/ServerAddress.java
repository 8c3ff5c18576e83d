package io.masticpond.core.fleet;

import io.masticpond.core.support.Assert;

/**
 * IP address and port of a backend server.
 *
 * @param ip the IP address as text, never a host name that requires resolution
 * @param port the port, 1 to 65535
 * @since 0.2
 */
public record ServerAddress(String ip, int port) {

    private static final int MAXIMUM_PORT = 65_535;
    private static final int OCTETS = 4;
    private static final int MAXIMUM_OCTET_DIGITS = 3;
    private static final int MAXIMUM_OCTET = 255;

    /** Validates the address and the port. */
    public ServerAddress {
        Assert.hasText(ip, "An IP address");
        Assert.isTrue(
                port > 0 && port <= MAXIMUM_PORT,
                "A port must be from 1 to 65535, but was %d.",
                port);
    }

    /**
     * Parses an address in the form "ip:port" with a numeric IPv4 address.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static ServerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        Assert.isTrue(
                colon > 0 && isNumeric(text.substring(0, colon)),
                "An address must be ip:port, but was '%s'.",
                text);
        return new ServerAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static boolean isNumeric(String ip) {
        String[] octets = ip.split("\\.", -1);
        for (String octet : octets) {
            boolean digits =
                    octet.chars().allMatch(character -> character >= '0' && character <= '9');
            if (!digits || octet.isEmpty() || octet.length() > MAXIMUM_OCTET_DIGITS) {
                return false;
            }
            if (Integer.parseInt(octet) > MAXIMUM_OCTET) {
                return false;
            }
        }
        return octets.length == OCTETS;
    }

    /**
     * Implemented explicitly because the {@code equals} that the compiler generates for a record is
     * linked at its first use, which costs time during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof ServerAddress
                && port == ((ServerAddress) other).port
                && ip.equals(((ServerAddress) other).ip);
    }

    @Override
    public int hashCode() {
        return 31 * ip.hashCode() + port;
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
