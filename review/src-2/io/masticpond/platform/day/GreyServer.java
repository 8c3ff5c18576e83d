package io.masticpond.platform.day;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.masticpond.core.fleet.ServerAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a backend server that can turn grey: its health check is good, and it fails a part of
 * its requests after it has run them, with an answer of its own that bears its seal and no
 * {@code Not-Executed}.
 */
final class GreyServer implements AutoCloseable {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private final String mId;
    private final String mService;
    private final String mZone;
    private final int mSlots;
    private final long mWorkMillis;
    private final ObjectStoreClient mStore;
    private final HttpServer mServer;
    private final Random mRandom;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mReports = new AtomicInteger();
    private final Map<String, Integer> mAnswered = new ConcurrentHashMap<>();
    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool(DayThreads::daemon);
    private final ScheduledExecutorService mReporter =
            Executors.newSingleThreadScheduledExecutor(DayThreads::daemon);
    private final Map<String, Long> mArrivals = new ConcurrentHashMap<>();
    private volatile boolean mIsLeaving;
    private volatile ObjectNode mLateStatus;
    private volatile long mLateNanos;
    private volatile long mLateExecutedNanos;
    private volatile double mFailedShare;
    private volatile int mFailureStatus;

    GreyServer(
            ServerAddress store,
            String id,
            String service,
            String zone,
            int slots,
            long workMillis,
            long seed)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mSlots = slots;
        mWorkMillis = workMillis;
        mStore = new ObjectStoreClient(store);
        mRandom = new Random(seed);
        mServer = DayThreads.server(store.ip());
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
        writeEntry();
        report();
        mReporter.scheduleWithFixedDelay(
                this::tryReport,
                LocalPlatform.REPORT_INTERVAL.toMillis(),
                LocalPlatform.REPORT_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    String id() {
        return mId;
    }

    /** Fails a share of the requests from now on, after each has run, with a status. */
    void fail(double share, int status) {
        mFailureStatus = status;
        mFailedShare = share;
    }

    /**
     * Reports that the server is leaving.
     *
     * @return the monotonic time in nanoseconds at which the store had acknowledged it
     */
    long leave() throws IOException {
        mIsLeaving = true;
        report();
        return System.nanoTime();
    }

    /**
     * Sends the report of this moment to a store that gives no answer and executes it later. The
     * report has no condition, as those of servers.
     *
     * @param delayMillis time in milliseconds after which the store executes it, as soon as the
     *     server has reported again
     */
    void reportLate(long delayMillis) {
        mLateNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        mLateStatus = status();
    }

    /** Returns the monotonic time in nanoseconds at which the late report was executed, or 0. */
    long lateExecutedNanos() {
        return mLateExecutedNanos;
    }

    /** Returns the monotonic time in nanoseconds at which each request began to run, by id. */
    Map<String, Long> arrivals() {
        return mArrivals;
    }

    /** Returns the status of each request that ran, by request id. */
    Map<String, Integer> answered() {
        return mAnswered;
    }

    /** Returns the body of each request that ran, by request id. */
    Map<String, String> bodies() {
        return mBodies;
    }

    private void writeEntry() throws IOException {
        InetSocketAddress address = mServer.getAddress();
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("address", address.getHostString() + ":" + address.getPort());
        entry.putObject("info")
                .put("service", mService)
                .put("version", "v1")
                .put("zone", mZone)
                .put("slots", mSlots);
        mStore.write(StoredObjects.SERVERS, mId, entry);
    }

    private void report() throws IOException {
        mStore.report(StoredObjects.SERVERS, mId, status());
    }

    private ObjectNode status() {
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("state", mIsLeaving ? "draining" : "ready");
        return status.put("seq", mReports.incrementAndGet()).put("cold-remaining", "0ms");
    }

    private void tryReport() {
        try {
            report();
            if (mLateStatus != null && System.nanoTime() - mLateNanos >= 0) {
                mStore.report(StoredObjects.SERVERS, mId, mLateStatus);
                mLateStatus = null;
                mLateExecutedNanos = System.nanoTime();
            }
        } catch (IOException exception) {
            System.err.println("Server " + mId + " could not report: " + exception);
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String expected = exchange.getRequestHeaders().getFirst("Target-Instance");
        if (exchange.getRequestURI().getPath().equals("/health")) {
            exchange.getResponseHeaders().set("Instance-Id", mId);
            answer(exchange, mIsLeaving ? UNAVAILABLE : OK, new byte[0]);
        } else if (expected != null && !expected.equals(mId)) {
            exchange.getResponseHeaders().set("Instance-Id", mId);
            exchange.getResponseHeaders().set("Not-Executed", "1");
            answer(exchange, MISDIRECTED, new byte[0]);
        } else if (mInFlight.incrementAndGet() > mSlots) {
            mInFlight.decrementAndGet();
            exchange.getResponseHeaders().set("Not-Executed", "1");
            answer(exchange, UNAVAILABLE, new byte[0]);
        } else {
            run(exchange, body);
        }
    }

    private void run(HttpExchange exchange, byte[] body) throws IOException {
        String requestId = exchange.getRequestHeaders().getFirst("Request-Id");
        boolean isFailed;
        synchronized (mRandom) {
            isFailed = mRandom.nextDouble() < mFailedShare;
        }
        int status = isFailed ? mFailureStatus : OK;
        mArrivals.put(requestId, System.nanoTime());
        mAnswered.put(requestId, status);
        mBodies.put(requestId, new String(body));
        try {
            TimeUnit.MILLISECONDS.sleep(mWorkMillis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        } finally {
            mInFlight.decrementAndGet();
        }
        byte[] echo =
                Echo.of(
                        requestId,
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().toString(),
                        body);
        exchange.getResponseHeaders().set("Request-Id", requestId);
        exchange.getResponseHeaders().set("Response-Seal", Echo.seal(requestId, echo));
        answer(exchange, status, echo);
    }

    private void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Server-Load", mInFlight.get() + ",0," + mSlots);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    @Override
    public void close() {
        mReporter.shutdownNow();
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
