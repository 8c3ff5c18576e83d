package io.masticpond.core.fleet;

import io.masticpond.core.support.Assert;

/**
 * An IP address and port.
 *
 * @param ip the address in text, never a name to be looked up
 * @param port the port, 1 to 65535
 * @since 0.2
 */
public record ServerAddress(String ip, int port) {

    private static final int MAXIMUM_PORT = 65_535;
    private static final int PARTS = 4;
    private static final int LONGEST_PART = 3;
    private static final int MAXIMUM_PART = 255;

    /** Checks the address. */
    public ServerAddress {
        Assert.hasText(ip, "An IP address");
        Assert.isTrue(
                port > 0 && port <= MAXIMUM_PORT,
                "A port must be from 1 to 65535, but was %d.",
                port);
    }

    /**
     * Reads "ip:port" with an address of IPv4 in digits.
     *
     * @param text the text
     * @return the address
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
        String[] parts = ip.split("\\.", -1);
        for (String part : parts) {
            boolean digits = part.chars().allMatch(each -> each >= '0' && each <= '9');
            if (!digits || part.isEmpty() || part.length() > LONGEST_PART) {
                return false;
            }
            if (Integer.parseInt(part) > MAXIMUM_PART) {
                return false;
            }
        }
        return parts.length == PARTS;
    }

    /** Written out, since the one that records get is linked at its first use, in a start. */
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
