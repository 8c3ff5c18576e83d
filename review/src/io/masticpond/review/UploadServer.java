package io.masticpond.review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.platform.day.ObjectStoreClient;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * Backend server, run as a separate process. It answers an upload before it has read all of it, with
 * a body that has no stated length and ends with the connection; it reads the rest of the upload
 * before it sends the rest of the answer.
 */
public final class UploadServer {

    static final int ANSWER_BYTES = 40_000;
    static final int FIRST_BYTES = 15_000;

    /** Bytes of the upload that are read before the answer begins. */
    private static final int READ_FIRST_BYTES = 64 * 1024;

    private static final long WORK_MILLIS = 1500;

    private final String mId;

    private UploadServer(String id) {
        mId = id;
    }

    /** Arguments: address of the store (ip:port), own id, service, zone, own IP address. */
    public static void main(String[] arguments) throws Exception {
        UploadServer server = new UploadServer(arguments[1]);
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(arguments[4]), 0), 200);
        String address = arguments[4] + ":" + listener.getLocalPort();
        System.out.println("listens on " + address);
        Thread reporter =
                new Thread(
                        () -> server.report(arguments[0], address, arguments[2], arguments[3]));
        reporter.setDaemon(true);
        reporter.start();
        while (true) {
            Socket socket = listener.accept();
            Thread thread = new Thread(() -> server.serve(socket));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void report(String store, String address, String service, String zone) {
        ObjectStoreClient client = new ObjectStoreClient(ServerAddress.parse(store));
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("address", address);
        entry.putObject("info")
                .put("service", service)
                .put("version", "v1")
                .put("zone", zone)
                .put("slots", 4);
        for (int sequence = 1; true; sequence++) {
            ObjectNode status = JsonNodeFactory.instance.objectNode();
            status.put("state", "ready").put("seq", sequence).put("cold-remaining", "0ms");
            try {
                if (!client.report("servers", mId, status)) {
                    client.write("servers", mId, entry);
                    client.report("servers", mId, status);
                }
                TimeUnit.MILLISECONDS.sleep(1000);
            } catch (IOException | InterruptedException exception) {
                System.err.println(mId + " could not report: " + exception);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (serveOne(socket, input)) {
                // Keeps the connection.
            }
        } catch (IOException | InterruptedException exception) {
            System.out.println("connection ended: " + exception);
        }
    }

    private boolean serveOne(Socket socket, InputStream input)
            throws IOException, InterruptedException {
        HttpText.Head head = HttpText.readHead(input);
        if (head == null) {
            return false;
        }
        OutputStream output = socket.getOutputStream();
        if (head.first().startsWith("GET /health")) {
            output.write(
                    HttpText.ascii("HTTP/1.1 200 OK\r\nInstance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        String target = head.headers().get("target-instance");
        String id = head.headers().get("request-id");
        long left = head.length();
        if (target != null && !target.equals(mId)) {
            input.skipNBytes(left);
            output.write(
                    HttpText.ascii(
                            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                                    + id
                                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        System.out.println("runs " + id);
        left -= input.readNBytes((int) Math.min(left, READ_FIRST_BYTES)).length;
        byte[] body = answer(id);
        output.write(
                HttpText.ascii(
                        "HTTP/1.1 200 OK\r\nRequest-Id: "
                                + id
                                + "\r\nResponse-Seal: "
                                + seal(id)
                                + "\r\nConnection: close\r\n\r\n"));
        output.write(body, 0, FIRST_BYTES);
        System.out.println("sent the first " + FIRST_BYTES + " bytes to " + id);
        TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        input.skipNBytes(left);
        output.write(body, FIRST_BYTES, ANSWER_BYTES - FIRST_BYTES);
        System.out.println("sent all of the answer to " + id);
        return false;
    }

    /** Returns the whole answer to a request. */
    static byte[] answer(String id) {
        byte[] body = new byte[ANSWER_BYTES];
        byte[] pattern = HttpText.ascii(id + ".");
        for (int index = 0; index < body.length; index++) {
            body[index] = pattern[index % pattern.length];
        }
        return body;
    }

    static String seal(String id) {
        return "seal-of-" + id;
    }
}
