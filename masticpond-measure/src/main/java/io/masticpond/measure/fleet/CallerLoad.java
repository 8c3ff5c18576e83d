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
 * Callers that look up, send mixed requests and check each answer against its own request.
 *
 * <p>Each worker follows look-ups as a well-behaved caller does: it caches one for as long as the
 * answer allows, and tries the next instance only where that cannot repeat work.
 *
 * @since 0.1
 */
public final class CallerLoad {

    private static final String DEADLINE_MILLIS = "5000";
    private static final int BODY_BYTES = 200;

    private final HttpCalls mCalls = new HttpCalls();
    private final List<FleetInstance> mInstances;
    private final LoadStatistics mTally;
    private final long mSeed;
    private final Consumer<EndedRequest> mListener;
    private final AtomicInteger mNumber = new AtomicInteger();

    /**
     * Makes callers.
     *
     * @param instances the instances that callers may ask first
     * @param tally takes how each request ended
     * @param seed the seed of the mix
     */
    public CallerLoad(List<FleetInstance> instances, LoadStatistics tally, long seed) {
        this(instances, tally, seed, request -> {});
    }

    /**
     * Makes callers whose requests are listened to one by one.
     *
     * @param instances the instances that callers may ask first
     * @param tally takes how each request ended
     * @param seed the seed of the mix
     * @param listener takes each request that ended, on the threads of the callers
     */
    public CallerLoad(
            List<FleetInstance> instances,
            LoadStatistics tally,
            long seed,
            Consumer<EndedRequest> listener) {
        mInstances = List.copyOf(instances);
        mTally = tally;
        mSeed = seed;
        mListener = listener;
    }

    /**
     * Runs workers until they are told to stop.
     *
     * @param workers how many requests are in flight at a time
     * @param goOn asked before each request
     */
    public void run(int workers, BooleanSupplier goOn) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            int worker = i;
            Thread thread = new Thread(() -> new Worker(worker).run(goOn), "caller-" + i);
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

    /** A kind of request in the mix. */
    private enum Kind {
        LAYOUT("layout-view", "GET", "/layouts/", false, false),
        PLATES("plate-ledger", "GET", "/plates/", false, false),
        RESERVATION("plate-ledger", "POST", "/reservations/", true, false),
        RELEASE("cut-dispatch", "POST", "/releases/", true, true);

        private final String mService;
        private final String mMethod;
        private final String mPath;
        private final boolean mOnceOnly;
        private final boolean mOwnKey;

        Kind(String service, String method, String path, boolean onceOnly, boolean ownKey) {
            mService = service;
            mMethod = method;
            mPath = path;
            mOnceOnly = onceOnly;
            mOwnKey = ownKey;
        }
    }

    /** What a look-up answered. */
    private record Lookup(List<String> addresses, Optional<String> key, long endNanos) {}

    /** One caller. */
    private final class Worker {

        private final UniformRandomProvider mRandom;
        private final Map<String, Lookup> mLookups = new HashMap<>();
        private final String mClient;

        /** The instance that was asked last, or empty. */
        private String mAsked = "";

        /** How often the request was sent. */
        private int mAttempts;

        Worker(int number) {
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(mSeed + number);
            mClient = "10." + (1 + number % 6) + "." + number + ".1";
        }

        void run(BooleanSupplier goOn) {
            while (goOn.getAsBoolean()) {
                Kind kind = pick();
                mAsked = "";
                mAttempts = 0;
                long start = System.nanoTime();
                String end = request(kind);
                mListener.accept(
                        new EndedRequest(
                                kind.mService,
                                kind.mOwnKey,
                                mAsked,
                                start,
                                System.nanoTime(),
                                end));
            }
        }

        private String request(Kind kind) {
            try {
                return ask(kind);
            } catch (IOException e) {
                mLookups.clear();
                return mTally.unanswered(kind.mOnceOnly, e.getMessage());
            }
        }

        private Kind pick() {
            int draw = mRandom.nextInt(100);
            if (draw < 70) {
                return Kind.LAYOUT;
            }
            if (draw < 80) {
                return Kind.PLATES;
            }
            return draw < 90 ? Kind.RESERVATION : Kind.RELEASE;
        }

        private String ask(Kind kind) throws IOException {
            int number = mNumber.getAndIncrement();
            String target = kind.mPath + mSeed + "-" + number;
            byte[] body = kind.mOnceOnly ? body(number) : new byte[0];
            Lookup lookup = lookup(kind);
            Map<String, String> headers = new HashMap<>();
            headers.put("Masticpond-Deadline-Millis", DEADLINE_MILLIS);
            if (kind.mOwnKey) {
                headers.put("Idempotency-Key", "order-" + mSeed + "-" + number);
            } else if (kind.mOnceOnly) {
                headers.put("Masticpond-Operation-Key", lookup.key().orElse("missing"));
            }
            long start = System.nanoTime();
            HttpCalls.HttpReply reply = send(kind, lookup, target, headers, body);
            return mTally.ended(
                    reply,
                    System.nanoTime() - start,
                    new LoadStatistics.SentRequest(target, sha256(body), mAttempts));
        }

        private HttpCalls.HttpReply send(
                Kind kind, Lookup lookup, String target, Map<String, String> headers, byte[] body)
                throws IOException {
            IOException last = null;
            for (String address : lookup.addresses()) {
                mAsked = address;
                mAttempts++;
                try {
                    return mCalls.call(
                            kind.mMethod,
                            address,
                            "/v1/services/" + kind.mService + target,
                            headers,
                            body);
                } catch (IOException e) {
                    last = e;
                }
            }
            throw last == null ? new IOException("The look-up named no instance.") : last;
        }

        private Lookup lookup(Kind kind) throws IOException {
            Lookup cached = mLookups.get(kind.mService);
            if (cached != null && !kind.mOnceOnly && cached.endNanos() - System.nanoTime() > 0) {
                return cached;
            }
            Lookup fresh = askLookup(kind);
            mLookups.put(kind.mService, fresh);
            return fresh;
        }

        private Lookup askLookup(Kind kind) throws IOException {
            int first = mRandom.nextInt(mInstances.size());
            IOException last = null;
            for (int i = 0; i < mInstances.size(); i++) {
                FleetInstance instance = mInstances.get((first + i) % mInstances.size());
                try {
                    return parse(
                            mCalls.json(
                                    instance.callerAddress(),
                                    "/v1/lookup?service=" + kind.mService + "&client=" + mClient));
                } catch (IOException e) {
                    last = e;
                }
            }
            throw new IOException("No instance answered a look-up.", last);
        }

        private Lookup parse(JsonNode answer) {
            List<String> addresses = new ArrayList<>();
            answer.get("instances").forEach(each -> addresses.add(each.get("address").asText()));
            Optional<String> key =
                    Optional.ofNullable(answer.get("operationKey")).map(JsonNode::asText);
            long end = System.nanoTime() + answer.get("cacheMillis").asLong() * 1_000_000;
            return new Lookup(addresses, key, end);
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
