package io.masticpond.measure.hostile;

import io.masticpond.core.support.Assert;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/**
 * Target that sends each input as the raw bytes of a connection to a server.
 *
 * <p>A connection that closes without a response counts as a refusal, an internal error as a crash,
 * and inactivity for longer than the timeout as a hang. Statuses with which the server itself
 * rejects malformed requests count as refusals.
 *
 * @param name the name of this target in the report
 * @param port the port on loopback at which the server listens
 * @param samples valid inputs
 * @param inputs the number of inputs to feed
 * @param server the server, which is closed with this target
 */
record SocketTarget(String name, int port, List<byte[]> samples, int inputs, AutoCloseable server)
        implements HostileTarget {

    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int MAXIMUM_ANSWER_BYTES = 4 << 20;
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;
    private static final Set<String> CRASH_STATUSES = Set.of("500");

    @Override
    public void feed(byte[] input) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String answer = exchange(socket, input);
            if (answer.startsWith("HTTP/") && answer.length() >= STATUS_END) {
                String status = answer.substring(STATUS_START, STATUS_END);
                Assert.isTrue(!CRASH_STATUSES.contains(status), "The answer was %s.", answer);
            }
        }
    }

    /**
     * Sends an input and returns the response, or an empty text if the connection was reset. A
     * server that closes the connection before it has read everything resets it, which is allowed.
     */
    private static String exchange(Socket socket, byte[] input) throws IOException {
        try {
            socket.getOutputStream().write(input);
            socket.shutdownOutput();
            byte[] answer = socket.getInputStream().readNBytes(MAXIMUM_ANSWER_BYTES);
            return new String(answer, StandardCharsets.ISO_8859_1);
        } catch (SocketException e) {
            return "";
        }
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
