package io.masticpond.review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.platform.day.LocalPlatform;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: a full server refuses a request and sends this refusal a second time, late, when the next
 * request is on the connection.
 */
public final class LateRefusal {

    private static final List<String> ZONES = List.of("centro-a", "norte-a", "sur-a");
    private static final String SERVICE = "reservas";
    private static final int SERVERS = 6;
    private static final int SLOTS = 4;
    private static final int QUEUE = 3;
    private static final long WORK_MILLIS = 120;
    private static final int CLIENTS = 80;
    private static final long DAY_MILLIS = 40_000;

    /** Three of six servers are faulty: a share of 0.5, below the 0.6 of the pages. */
    private static final int FAULTY_SERVERS = 3;

    /** Share of the answers of a faulty server that are followed by a second, late one. */
    private static final double LATE_SHARE = 0.03;

    /** Servers are faulty for the first 5 s of each 8 s. */
    private static final long FAULT_MILLIS = 5_000;

    private static final long FAULT_PERIOD_MILLIS = 8_000;

    private final PrintStream mLog;
    private final boolean mIsTrouble;
    private final Map<String, ConcurrentLinkedQueue<String>> mRuns = new ConcurrentHashMap<>();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mRefusals = new AtomicInteger();
    private volatile boolean mIsClosed;
    private volatile long mDayNanos = Long.MAX_VALUE;

    private LateRefusal(PrintStream log, boolean isTrouble) {
        mLog = log;
        mIsTrouble = isTrouble;
    }

    /** Arguments: the record to write, and whether servers are faulty ("1" or "0"). */
    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (PrintStream log = new PrintStream(arguments[0])) {
            LocalPlatform platform = Deployment.platform(ZONES);
            try {
                result = new LateRefusal(log, !arguments[1].equals("0")).run(platform);
            } catch (IOException | IllegalStateException exception) {
                log.println("The case could not run: " + exception);
            } finally {
                platform.close();
                platform.deleteFiles();
            }
            log.println("exit " + result);
        }
        System.exit(result);
    }

    private int run(LocalPlatform platform) throws Exception {
        Deployment.writeManifest(platform, "/book/", "non_idempotent", SERVICE, 3000);
        for (int index = 0; index < SERVERS; index++) {
            boolean isFaulty = mIsTrouble && index < FAULTY_SERVERS;
            new Server(platform, "i-reservas-" + index, ZONES.get(index % ZONES.size()), isFaulty)
                    .start();
        }
        Deployment.startInstances(platform, ZONES);
        TimeUnit.SECONDS.sleep(6);
        Map<String, String> ends = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        mDayNanos = System.nanoTime();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DAY_MILLIS);
        for (int index = 0; index < CLIENTS; index++) {
            ServerAddress address = platform.instances().get(index % ZONES.size()).entry();
            Thread client = new Thread(new Client(address, index, endNanos, ends));
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        TimeUnit.SECONDS.sleep(1);
        mIsClosed = true;
        int twice = 0;
        int untrue = 0;
        for (Map.Entry<String, ConcurrentLinkedQueue<String>> each : mRuns.entrySet()) {
            String end = ends.getOrDefault(each.getKey(), "no answer");
            if (each.getValue().size() > 1) {
                twice++;
                mLog.println("TWICE " + each.getKey() + ": ran at " + each.getValue() + ", answered " + end);
            }
            if (end.equals("503") || end.equals("429")) {
                untrue++;
                mLog.println("REFUSED " + each.getKey() + ": ran at " + each.getValue() + ", answered " + end);
            }
        }
        mLog.printf(
                "%d requests sent, %d ran, %d refusals of servers, %d late second answers%n",
                ends.size(), mRuns.size(), mRefusals.get(), mLate.get());
        mLog.println("answered 200: " + ends.values().stream().filter("200"::equals).count());
        mLog.println(twice + " ran twice, " + untrue + " answered as not run though they ran");
        return twice + untrue > 0 ? 1 : 0;
    }

    /** Client that sends one booking after the other on a connection that it keeps. */
    private final class Client implements Runnable {

        private final ServerAddress mAddress;
        private final Random mRandom;
        private final long mEndNanos;
        private final Map<String, String> mEnds;
        private Socket mSocket;
        private InputStream mInput;

        Client(ServerAddress address, long seed, long endNanos, Map<String, String> ends) {
            mAddress = address;
            mRandom = new Random(seed);
            mEndNanos = endNanos;
            mEnds = ends;
        }

        @Override
        public void run() {
            try {
                while (System.nanoTime() < mEndNanos) {
                    book();
                    TimeUnit.MILLISECONDS.sleep(mRandom.nextInt(200));
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        private void book() {
            String id = String.format("%016x", mRandom.nextLong());
            try {
                if (mSocket == null) {
                    mSocket = new Socket();
                    mSocket.setTcpNoDelay(true);
                    mSocket.setSoTimeout(6000);
                    mSocket.connect(new InetSocketAddress(mAddress.ip(), mAddress.port()), 1000);
                    mInput = new BufferedInputStream(mSocket.getInputStream());
                }
                mSocket.getOutputStream()
                        .write(
                                HttpText.ascii(
                                        "POST /book/1 HTTP/1.1\r\nHost: "
                                                + Deployment.HOST
                                                + "\r\nRequest-Id: "
                                                + id
                                                + "\r\nAffinity-Key: "
                                                + mRandom.nextInt(30)
                                                + "\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbook"));
                HttpText.Head answer = HttpText.readHead(mInput);
                mInput.skipNBytes(answer.length());
                mEnds.put(id, "" + answer.status());
                if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
                    reset();
                }
            } catch (IOException | NullPointerException exception) {
                mEnds.put(id, "cut");
                reset();
            }
        }

        private void reset() {
            try {
                mSocket.close();
            } catch (IOException exception) {
                mLog.println("A client could not close: " + exception);
            }
            mSocket = null;
        }
    }

    /** Backend server that runs some requests at a time, queues a few and refuses the others. */
    private final class Server {

        private final LocalPlatform mPlatform;
        private final String mId;
        private final String mZone;
        private final boolean mIsFaulty;
        private final ServerSocket mListener = new ServerSocket();
        private final Semaphore mSlots = new Semaphore(SLOTS, true);
        private final AtomicInteger mHeld = new AtomicInteger();
        private final Random mRandom = new Random(7);

        Server(LocalPlatform platform, String id, String zone, boolean isFaulty)
                throws IOException {
            mPlatform = platform;
            mId = id;
            mZone = zone;
            mIsFaulty = isFaulty;
            InetAddress host = InetAddress.getByName(platform.store().address().ip());
            mListener.bind(new InetSocketAddress(host, 0), 200);
        }

        void start() {
            daemon(this::report);
            daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = mListener.accept();
                                daemon(() -> serve(socket));
                            } catch (IOException exception) {
                                return;
                            }
                        }
                    });
        }

        private void report() {
            ObjectNode entry = JsonNodeFactory.instance.objectNode();
            entry.put(
                    "address",
                    mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort());
            entry.putObject("info")
                    .put("service", SERVICE)
                    .put("version", "v1")
                    .put("zone", mZone)
                    .put("slots", SLOTS);
            for (int sequence = 1; !mIsClosed; sequence++) {
                ObjectNode status = JsonNodeFactory.instance.objectNode();
                status.put("state", "ready").put("seq", sequence).put("cold-remaining", "0ms");
                try {
                    if (!mPlatform.operator().report("servers", mId, status)) {
                        mPlatform.operator().write("servers", mId, entry);
                        mPlatform.operator().report("servers", mId, status);
                    }
                    TimeUnit.MILLISECONDS.sleep(1000);
                } catch (IOException | InterruptedException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                OutputStream output = socket.getOutputStream();
                byte[] late = null;
                for (HttpText.Head head = HttpText.readHead(input);
                        head != null;
                        head = HttpText.readHead(input)) {
                    input.skipNBytes(head.length());
                    if (late != null) {
                        mLate.incrementAndGet();
                        mLog.println(
                                mId
                                        + " sends an answer a second time while "
                                        + head.headers().get("request-id")
                                        + " is on the connection: "
                                        + new String(late).lines().findFirst().get());
                        output.write(late);
                    }
                    byte[] answer = answer(head);
                    output.write(answer);
                    boolean repeats;
                    synchronized (mRandom) {
                        repeats =
                                mIsFaulty && isFaultTime() && mRandom.nextDouble() < LATE_SHARE;
                    }
                    late = repeats ? answer : null;
                }
            } catch (IOException | InterruptedException exception) {
                // The connection has ended.
            }
        }

        private boolean isFaultTime() {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mDayNanos);
            return millis >= 0 && millis % FAULT_PERIOD_MILLIS < FAULT_MILLIS;
        }

        private byte[] answer(HttpText.Head head) throws InterruptedException {
            String id = head.headers().get("request-id");
            if (head.first().startsWith("GET /health")) {
                return HttpText.ascii(
                        "HTTP/1.1 200 OK\r\nInstance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n");
            }
            if (!mId.equals(head.headers().get("target-instance"))) {
                return HttpText.ascii(
                        "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: "
                                + mId
                                + "\r\nContent-Length: 0\r\n\r\n");
            }
            try {
                if (mHeld.incrementAndGet() > SLOTS + QUEUE) {
                    mRefusals.incrementAndGet();
                    return HttpText.ascii(
                            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                }
                mSlots.acquire();
                try {
                    mRuns.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(mId);
                    TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
                } finally {
                    mSlots.release();
                }
            } finally {
                mHeld.decrementAndGet();
            }
            return HttpText.ascii(
                    "HTTP/1.1 200 OK\r\nRequest-Id: "
                            + id
                            + "\r\nResponse-Seal: seal\r\nContent-Length: 6\r\n\r\nbooked");
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
