package io.masticpond.measure.hostile;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.Heartbeat;
import io.masticpond.protocol.generated.Hello;
import io.masticpond.protocol.generated.MemberEntry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Valid inputs from which the generated inputs are derived. */
final class HostileSamples {

    static final Incarnation INCARNATION = new Incarnation(new InstanceId("entry-1"), 1);

    static final String SETTINGS =
            """
            {
              // Settings of one instance.
              "instance": {"id": "entry-1", "zone": "casa-1"},
              "caller": {"address": "127.0.0.1:7000", "maximumBodyBytes": 65536},
              "operator": {"address": "127.0.0.1:7001",
                "tokens": [{"name": "ops", "value": "0123456789abcdef"}]},
              "link": {"address": "127.0.0.1:7002", "seeds": ["127.0.0.2:7002"],
                "keys": [{"id": "one", "value": "0123456789abcdef"}]},
              "platform": {"addresses": ["127.0.0.1:9000"], "callsPerSecond": 20}
            }
            """;

    private static final String CONTENT =
            """
            {"regions": [{"id": "casa", "zones": ["casa-1", "casa-2"]},
                         {"id": "fes", "zones": ["fes-1"]}],
             "links": [{"from": "casa", "to": "fes", "oneWayMicros": 20000,
                        "requestsPerSecond": 400}],
             "services": [{"id": "layout-view", "defaultDeadlineMillis": 2000,
               "operations": [{"name": "view", "method": "GET", "pathPrefix": "/",
                               "kind": "READ", "priority": 7}],
               "backendServers": [{"id": "lv-1", "zone": "casa-1", "address": "127.1.1.1:8000",
                                   "slots": 3, "connections": 360, "leaving": false}],
               "prices": [{"region": "casa", "requestMicros": 20}],
               "spending": {"timeZone": "Africa/Casablanca", "shifts": [
                 {"name": "day", "start": "06:00", "end": "22:00", "capMicros": 1000}]}}],
             "sites": [{"id": "north", "zone": "casa-1"}],
             "clientBlocks": [{"block": "10.1.0.0/16", "site": "north"}]}
            """;

    static final String INTENT = "{\"content\": " + CONTENT + "}";

    static final String CHANGE =
            "{\"change\": {\"put\": "
                    + CONTENT
                    + ", \"remove\": {\"services\": [\"a\"], \"clientBlocks\": [\"10.0.0.0/8\"]}}}";

    private HostileSamples() {}

    static List<byte[]> operatorRequests(String token) {
        String authorization = "Host: a\r\nAuthorization: Bearer " + token + "\r\n";
        return List.of(
                request("GET /v1/configuration HTTP/1.1\r\n" + authorization, ""),
                request("GET /v1/plans/plan-1 HTTP/1.1\r\n" + authorization, ""),
                request("POST /v1/plans/plan-1/confirm HTTP/1.1\r\n" + authorization, ""),
                request("POST /v1/intents HTTP/1.1\r\n" + authorization, CHANGE),
                request("GET /v1/configuration HTTP/1.1\r\nHost: a\r\n", ""));
    }

    static List<byte[]> callerRequests() {
        String keys = "Masticpond-Deadline-Millis: 100\r\nMasticpond-Operation-Key: k1.abc\r\n";
        return List.of(
                request(
                        "GET /v1/lookup?service=layout-view&client=10.1.2.3&version=3 HTTP/1.1\r\n"
                                + "Host: a\r\n",
                        ""),
                request(
                        "POST /v1/services/layout-view/plates/7?x=1 HTTP/1.1\r\nHost: a\r\n" + keys,
                        "{\"plate\": 7}"),
                request(
                        "POST /v1/services/layout-view/plates HTTP/1.1\r\nHost: a\r\n"
                                + "Idempotency-Key: \"a-key\"\r\nTransfer-Encoding: chunked\r\n",
                        "4\r\nwork\r\n0\r\n\r\n"),
                request("GET /health HTTP/1.1\r\nHost: a\r\n", ""));
    }

    /** Returns frames in the wire format of a link: the length in four bytes, then the envelope. */
    static List<byte[]> frames() {
        return List.of(
                frame(
                        Envelope.newBuilder()
                                .setHello(
                                        Hello.newBuilder()
                                                .setInstance("entry-2")
                                                .setIncarnation(1)
                                                .setLowestVersion(1)
                                                .setHighestVersion(1)
                                                .setKeyId("one"))),
                frame(
                        Envelope.newBuilder()
                                .setHeartbeat(
                                        Heartbeat.newBuilder()
                                                .setSelf(
                                                        MemberEntry.newBuilder()
                                                                .setInstance("entry-2")
                                                                .setZone("casa-1")))),
                frame(
                        Envelope.newBuilder()
                                .setCallId(1)
                                .setForward(
                                        Forward.newBuilder()
                                                .setService("layout-view")
                                                .setMethod("GET")
                                                .setPath("/"))),
                frame(
                        Envelope.newBuilder()
                                .setConfigurationFetch(
                                        ConfigurationFetch.newBuilder().setKnownVersion(3))));
    }

    private static byte[] request(String head, String body) {
        boolean chunked = head.contains("chunked");
        String length = chunked ? "" : "Content-Length: " + body.length() + "\r\n";
        return (head + length + "Connection: close\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] frame(Envelope.Builder envelope) {
        byte[] message = envelope.build().toByteArray();
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }
}
