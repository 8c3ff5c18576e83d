package io.masticpond.review;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.platform.day.InstanceProcess;
import io.masticpond.platform.day.LocalPlatform;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Case: a backend server crashes in the middle of an answer that has no stated length, while the
 * upload that it answers is still on its way.
 */
public final class CutAnswer {

    private static final List<String> ZONES = List.of("centro-a", "norte-a", "sur-a");
    private static final String SERVICE = "reservas";
    private static final int ROUNDS = 3;

    /** One of eight crashes at a time: a share of 0.125, below the 0.14 of the site. */
    private static final int SERVERS = 8;

    private static final int UPLOAD_BYTES = 4 * 1024 * 1024;
    private static final long DEADLINE_MILLIS = 3000;
    private static final String LISTENS = "listens on ";
    private static final long CRASH_AFTER_MILLIS = 400;

    /** Time until a new server is known everywhere and no longer cold. */
    private static final long SETTLE_SECONDS = 6;

    /** Line of output upon which a server is killed. */
    private static volatile String sCrashAt = "";

    private CutAnswer() {}

    /** Answer as the client received it; complete if the stated length was received. */
    private record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {}

    /** Backend server in a process of its own. */
    private record Server(Process process, CompletableFuture<ServerAddress> address) {}

    /** Arguments: the record to write, and whether servers crash ("1" or "0"). */
    public static void main(String[] arguments) throws Exception {
        boolean crashes = !arguments[1].equals("0");
        int result = 2;
        try (PrintStream log = new PrintStream(arguments[0])) {
            LocalPlatform platform = Deployment.platform(ZONES);
            List<Server> servers = new CopyOnWriteArrayList<>();
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(() -> servers.forEach(each -> each.process().destroyForcibly())));
            try {
                result = run(platform, servers, crashes, log);
            } catch (IOException | IllegalStateException exception) {
                log.println("The case could not run: " + exception);
            } finally {
                servers.forEach(each -> each.process().destroyForcibly());
                platform.close();
                platform.deleteFiles();
            }
            log.println("exit " + result);
        }
        System.exit(result);
    }

    private static int run(
            LocalPlatform platform, List<Server> servers, boolean crashes, PrintStream log)
            throws Exception {
        Deployment.writeManifest(platform, "/upload/", "non_idempotent", SERVICE, DEADLINE_MILLIS);
        if (crashes) {
            control(platform, servers, log);
        }
        for (int index = 0; index < SERVERS; index++) {
            servers.add(startServer(platform, index, log));
        }
        Deployment.startInstances(platform, ZONES);
        TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
        int broken = 0;
        int whole = 0;
        for (int round = 0; round < ROUNDS; round++) {
            InstanceProcess instance = platform.instances().get(round % ZONES.size());
            String id = String.format("%016x", 0x9c41d07be2a35f68L + round);
            if (crashes) {
                sCrashAt = "sent the first " + UploadServer.FIRST_BYTES + " bytes to " + id;
            }
            log.println(id + ": sent, POST with " + UPLOAD_BYTES + " bytes, to " + instance);
            try {
                Answer answer = send(instance.entry(), id);
                boolean isWhole = Arrays.equals(answer.body(), UploadServer.answer(id));
                boolean isSuccess = answer.status() / 100 == 2;
                log.printf(
                        "%s: answered %d, seal %s, %d bytes of %d, complete in HTTP: %b%n",
                        id,
                        answer.status(),
                        answer.headers().get("response-seal"),
                        answer.body().length,
                        UploadServer.ANSWER_BYTES,
                        answer.complete());
                if (isSuccess && answer.complete() && !isWhole) {
                    log.println(id + ": MIXED, a success whose body isn't the server's whole body");
                    broken++;
                }
                whole += isSuccess && isWhole ? 1 : 0;
            } catch (IOException exception) {
                log.println(id + ": ended without a complete answer: " + exception);
            }
            if (crashes) {
                servers.add(startServer(platform, round, log));
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
            }
        }
        log.println(broken + " broken, " + whole + " whole, of " + ROUNDS);
        if (!crashes && whole < ROUNDS) {
            log.println("Without a crash every answer should be whole.");
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }

    /** Kills a server some time after it has begun an answer. */
    private static void crashLater(Process server, String id, PrintStream log) {
        Thread crash =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.MILLISECONDS.sleep(CRASH_AFTER_MILLIS);
                            } catch (InterruptedException exception) {
                                return;
                            }
                            log.println("server " + id + " is killed");
                            server.destroyForcibly();
                        });
        crash.setDaemon(true);
        crash.start();
    }

    /**
     * Shows what a crash looks like on the wire: a plain client without masticpond sends the same
     * upload to a server, stops sending, and reads until the connection ends.
     */
    private static void control(LocalPlatform platform, List<Server> servers, PrintStream log)
            throws Exception {
        Server server = startServer(platform, 0, log);
        servers.add(server);
        try (Socket socket = new Socket()) {
            ServerAddress address = server.address().get(20, TimeUnit.SECONDS);
            socket.connect(new InetSocketAddress(address.ip(), address.port()), 1000);
            socket.getOutputStream().write(head("control"));
            socket.getOutputStream().write(new byte[UPLOAD_BYTES / 4]);
            TimeUnit.MILLISECONDS.sleep(CRASH_AFTER_MILLIS);
            server.process().destroyForcibly().waitFor();
            long received = 0;
            try {
                while (socket.getInputStream().read() >= 0) {
                    received++;
                }
                log.println("control: an orderly end after " + received + " bytes");
            } catch (IOException exception) {
                log.println("control: " + exception + " after " + received + " bytes");
            }
        }
    }

    private static byte[] head(String id) {
        return HttpText.ascii(
                "POST /upload/1 HTTP/1.1\r\nHost: "
                        + Deployment.HOST
                        + "\r\nRequest-Id: "
                        + id
                        + "\r\nAffinity-Key: 1\r\nDeadline-Ms: "
                        + DEADLINE_MILLIS
                        + "\r\nContent-Length: "
                        + UPLOAD_BYTES
                        + "\r\n\r\n");
    }

    private static Server startServer(LocalPlatform platform, int index, PrintStream log)
            throws IOException {
        ServerAddress store = platform.store().address();
        String id = "i-" + Long.toHexString(System.nanoTime());
        log.println("server " + id + " starts");
        CompletableFuture<ServerAddress> address = new CompletableFuture<>();
        Process server =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        UploadServer.class.getName(),
                        store.toString(),
                        id,
                        SERVICE,
                        ZONES.get(index % ZONES.size()),
                        store.ip())
                .redirectErrorStream(true)
                .start();
        Thread output =
                new Thread(
                        () ->
                                server.inputReader()
                                        .lines()
                                        .forEach(
                                                line -> {
                                                    log.println("server " + id + ": " + line);
                                                    if (line.equals(sCrashAt)) {
                                                        crashLater(server, id, log);
                                                    }
                                                    if (line.startsWith(LISTENS)) {
                                                        address.complete(
                                                                ServerAddress.parse(
                                                                        line.substring(
                                                                                LISTENS.length())));
                                                    }
                                                }));
        output.setDaemon(true);
        output.start();
        return new Server(server, address);
    }

    private static Answer send(ServerAddress address, String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.ip(), address.port()), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS + 2000);
            OutputStream output = socket.getOutputStream();
            output.write(head(id));
            output.write(new byte[UPLOAD_BYTES]);
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static Answer read(InputStream input) throws IOException {
        HttpText.Head head = HttpText.readHead(input);
        if (head == null) {
            throw new IOException("The connection ended before an answer.");
        }
        byte[] body = input.readNBytes((int) head.length());
        return new Answer(
                head.status(), head.headers(), body, body.length == (int) head.length());
    }
}
