package io.masticpond.measure.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Load of simulated callers, which look up instances, send a mix of requests, and check that each
 * answer belongs to its own request.
 *
 * <p>Each caller uses look-ups as documented for callers: it caches one for as long as the answer
 * allows, and tries the next instance only if that can't execute the request twice.
 *
 * @since 0.1
 */
public final class CallerLoad {

    private static final String DEADLINE_MILLIS = "5000";
    private static final int BODY_BYTES = 200;

    private final HttpCalls mCalls = new HttpCalls();
    private final List<FleetInstance> mInstances;
    private final LoadStatistics mStatistics;
    private final long mSeed;
    private final Consumer<CompletedRequest> mListener;
    private final AtomicInteger mNextNumber = new AtomicInteger();

    /**
     * Creates callers.
     *
     * @param instances the instances to which callers may send look-ups
     * @param statistics the statistics that record how each request ends
     * @param seed the seed of the mix
     */
    public CallerLoad(List<FleetInstance> instances, LoadStatistics statistics, long seed) {
        this(instances, statistics, seed, request -> {});
    }

    /**
     * Creates callers whose completed requests are passed to a listener.
     *
     * @param instances the instances to which callers may send look-ups
     * @param statistics the statistics that record how each request ends
     * @param seed the seed of the mix
     * @param listener the listener that receives each completed request, on the threads of the
     *     callers
     */
    public CallerLoad(
            List<FleetInstance> instances,
            LoadStatistics statistics,
            long seed,
            Consumer<CompletedRequest> listener) {
        mInstances = List.copyOf(instances);
        mStatistics = statistics;
        mSeed = seed;
        mListener = listener;
    }

    /**
     * Runs callers until a condition no longer holds, and waits for their end.
     *
     * @param workers the number of callers, each with one request in flight at a time
     * @param shouldContinue the condition under which another request is sent, evaluated before
     *     each request on the threads of the callers
     */
    public void run(int workers, BooleanSupplier shouldContinue) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            int worker = i;
            Thread thread = new Thread(() -> new Worker(worker).run(shouldContinue), "caller-" + i);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Kind of request in the mix. */
    private enum Kind {
        LAYOUT("layout-view", "GET", "/layouts/", false, false),
        PLATES("plate-ledger", "GET", "/plates/", false, false),
        RESERVATION("plate-ledger", "POST", "/reservations/", true, false),
        RELEASE("cut-dispatch", "POST", "/releases/", true, true);

        private final String mService;
        private final String mMethod;
        private final String mPath;
        private final boolean mOnceOnly;
        private final boolean mCallerKey;

        Kind(String service, String method, String path, boolean onceOnly, boolean callerKey) {
            mService = service;
            mMethod = method;
            mPath = path;
            mOnceOnly = onceOnly;
            mCallerKey = callerKey;
        }
    }

    /**
     * Answer to a look-up.
     *
     * @param addresses the instances to try, in this order, as "ip:port"
     * @param key the operation key, or empty if the answer has none
     * @param expiryNanos the time at which the answer expires, from {@link System#nanoTime}
     */
    private record Lookup(List<String> addresses, Optional<String> key, long expiryNanos) {}

    /** Caller with its own random numbers and cached look-ups. */
    private final class Worker {

        private final UniformRandomProvider mRandom;
        private final Map<String, Lookup> mLookups = new HashMap<>();
        private final String mClient;

        /** Address to which the request was sent last, or an empty string. */
        private String mLastAddress = "";

        /** Number of times that the current request was sent. */
        private int mAttempts;

        Worker(int number) {
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(mSeed + number);
            mClient = "10." + (1 + number % 6) + "." + number + ".1";
        }

        void run(BooleanSupplier shouldContinue) {
            while (shouldContinue.getAsBoolean()) {
                Kind kind = randomKind();
                mLastAddress = "";
                mAttempts = 0;
                long start = System.nanoTime();
                String outcome = executeAndRecord(kind);
                mListener.accept(
                        new CompletedRequest(
                                kind.mService,
                                kind.mCallerKey,
                                mLastAddress,
                                start,
                                System.nanoTime(),
                                outcome));
            }
        }

        private String executeAndRecord(Kind kind) {
            try {
                return execute(kind);
            } catch (IOException e) {
                mLookups.clear();
                return mStatistics.recordUnanswered(kind.mOnceOnly, e.getMessage());
            }
        }

        private Kind randomKind() {
            int percentile = mRandom.nextInt(100);
            if (percentile < 70) {
                return Kind.LAYOUT;
            }
            if (percentile < 80) {
                return Kind.PLATES;
            }
            return percentile < 90 ? Kind.RESERVATION : Kind.RELEASE;
        }

        private String execute(Kind kind) throws IOException {
            int number = mNextNumber.getAndIncrement();
            String target = kind.mPath + mSeed + "-" + number;
            byte[] body = kind.mOnceOnly ? body(number) : new byte[0];
            Lookup lookup = lookup(kind);
            Map<String, String> headers = new HashMap<>();
            headers.put("Masticpond-Deadline-Millis", DEADLINE_MILLIS);
            if (kind.mCallerKey) {
                headers.put("Idempotency-Key", "order-" + mSeed + "-" + number);
            } else if (kind.mOnceOnly) {
                headers.put("Masticpond-Operation-Key", lookup.key().orElse("missing"));
            }
            long start = System.nanoTime();
            HttpCalls.HttpReply reply = send(kind, lookup, target, headers, body);
            return mStatistics.recordReply(
                    reply,
                    System.nanoTime() - start,
                    new LoadStatistics.SentRequest(target, sha256(body), mAttempts));
        }

        private HttpCalls.HttpReply send(
                Kind kind, Lookup lookup, String target, Map<String, String> headers, byte[] body)
                throws IOException {
            IOException lastFailure = null;
            for (String address : lookup.addresses()) {
                mLastAddress = address;
                mAttempts++;
                try {
                    return mCalls.call(
                            kind.mMethod,
                            address,
                            "/v1/services/" + kind.mService + target,
                            headers,
                            body);
                } catch (IOException e) {
                    lastFailure = e;
                }
            }
            throw lastFailure == null
                    ? new IOException("The look-up named no instance.")
                    : lastFailure;
        }

        private Lookup lookup(Kind kind) throws IOException {
            Lookup cached = mLookups.get(kind.mService);
            if (cached != null && !kind.mOnceOnly && cached.expiryNanos() - System.nanoTime() > 0) {
                return cached;
            }
            Lookup fresh = requestLookup(kind);
            mLookups.put(kind.mService, fresh);
            return fresh;
        }

        private Lookup requestLookup(Kind kind) throws IOException {
            int firstIndex = mRandom.nextInt(mInstances.size());
            IOException lastFailure = null;
            for (int i = 0; i < mInstances.size(); i++) {
                FleetInstance instance = mInstances.get((firstIndex + i) % mInstances.size());
                try {
                    return parse(
                            mCalls.json(
                                    instance.callerAddress(),
                                    "/v1/lookup?service=" + kind.mService + "&client=" + mClient));
                } catch (IOException e) {
                    lastFailure = e;
                }
            }
            throw new IOException("No instance answered a look-up.", lastFailure);
        }

        private Lookup parse(JsonNode answer) {
            List<String> addresses = new ArrayList<>();
            answer.get("instances").forEach(each -> addresses.add(each.get("address").asText()));
            Optional<String> key =
                    Optional.ofNullable(answer.get("operationKey")).map(JsonNode::asText);
            long expiryNanos = System.nanoTime() + answer.get("cacheMillis").asLong() * 1_000_000;
            return new Lookup(addresses, key, expiryNanos);
        }

        private byte[] body(int number) {
            StringBuilder text = new StringBuilder("{\"order\":" + number + ",\"note\":\"");
            while (text.length() < BODY_BYTES) {
                text.append((char) ('a' + mRandom.nextInt(26)));
            }
            return text.append("\"}").toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private static String sha256(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing.", e);
        }
    }
}
