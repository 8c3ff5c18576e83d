package io.masticpond.review;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reading and writing of plain HTTP/1.1 messages. */
final class HttpText {

    /** Message with header names in lower case; the body is still in the stream. */
    record Head(String first, Map<String, String> headers) {

        long length() {
            return Long.parseLong(headers.getOrDefault("content-length", "0"));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private HttpText() {}

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads a head, or returns null if the stream ends before it is complete. */
    static Head readHead(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(input); line != null; line = line(input)) {
            if (line.isEmpty()) {
                return new Head(first, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return null;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
