package io.masticpond.command.task;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Fake operator interface of an instance, with canned responses. It can also hang. */
final class FakeInstance implements AutoCloseable {

    static final String TOKEN = "correct-horse";

    private final HttpServer mServer;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final Map<String, CannedResponse> mResponses = new ConcurrentHashMap<>();
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch mClosed = new CountDownLatch(1);
    private volatile boolean mHangs;
    private volatile boolean mExpectsNoToken;

    FakeInstance() {
        try {
            mServer =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mServer.setExecutor(mExecutor);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Sets the response to a method and path, without its query. */
    FakeInstance answers(String methodAndPath, int status, String body) {
        mResponses.put(methodAndPath, new CannedResponse(status, body));
        return this;
    }

    /** Accepts only requests without a token, as they are sent to instances of the request path. */
    FakeInstance expectsNoToken() {
        mExpectsNoToken = true;
        return this;
    }

    /** Accepts requests from now on without responding. */
    FakeInstance hangs() {
        mHangs = true;
        return this;
    }

    /** Returns the requests with their queries, in the order of arrival. */
    List<String> requests() {
        return mRequests;
    }

    @Override
    public void close() {
        mClosed.countDown();
        mServer.stop(0);
        mExecutor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String key = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
        mRequests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
        if (mHangs) {
            awaitClose();
            return;
        }
        CannedResponse canned =
                mResponses.getOrDefault(key, new CannedResponse(404, "{\"detail\":\"No route.\"}"));
        if (!isAuthorized(exchange)) {
            canned = new CannedResponse(401, "{\"status\":401}");
        }
        byte[] body = canned.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(canned.status(), body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private boolean isAuthorized(HttpExchange exchange) {
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        boolean isLookup = exchange.getRequestURI().getPath().equals("/v1/lookup");
        return isLookup || mExpectsNoToken
                ? authorization == null
                : ("Bearer " + TOKEN).equals(authorization);
    }

    private void awaitClose() {
        try {
            mClosed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Status and body of a response. */
    private record CannedResponse(int status, String body) {}
}
