package io.masticpond.command.client;

import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;

/**
 * Address at which an instance is reached.
 *
 * @param url the root URL of the interface, with a port
 * @since 0.1
 */
public record InstanceAddress(HttpUrl url) {

    /**
     * Parses an address of the form {@code ip:port}, with an IPv6 address in brackets.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    public static InstanceAddress parse(String text) {
        String trimmed = text.trim();
        HttpUrl url = HttpUrl.parse("http://" + trimmed + "/");
        boolean isWellFormed =
                url != null
                        && trimmed.matches(".+:\\d+")
                        && url.encodedPath().equals("/")
                        && url.username().isEmpty()
                        && url.query() == null
                        && url.fragment() == null;
        if (!isWellFormed) {
            throw new IllegalArgumentException(
                    "An address of an instance must be ip:port, but was '" + trimmed + "'.");
        }
        return new InstanceAddress(url);
    }

    /**
     * Parses a list of addresses.
     *
     * @param text the addresses, separated by commas
     * @return the addresses in the order given, at least one
     * @throws IllegalArgumentException if an address has another form, or there is none
     */
    public static List<InstanceAddress> parseAll(String text) {
        List<InstanceAddress> addresses = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            addresses.add(parse(part));
        }
        return List.copyOf(addresses);
    }

    @Override
    public String toString() {
        String host = url.host().contains(":") ? "[" + url.host() + "]" : url.host();
        return host + ":" + url.port();
    }
}
