package io.masticpond.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.io.IOException;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

class StatusRoutesTest {

    private static final InstanceId INSTANCE = new InstanceId("perth-a-1");

    private final FakeDrainControl mDrainControl = new FakeDrainControl();
    private final OkHttpClient mClient = new OkHttpClient();
    private Javalin mServer;

    @BeforeTry
    void startServer() {
        StatusRoutes routes = new StatusRoutes(INSTANCE, this::status, mDrainControl);
        mServer = Javalin.create(routes::addTo).start("127.0.0.1", 0);
    }

    @AfterTry
    void stopServer() {
        mServer.stop();
    }

    @Example
    void drainOfAnotherInstanceHasNoEffect() throws IOException {
        assertThat(post("/v1/instances/perth-b-1/drain")).isEqualTo(404);
        assertThat(mDrainControl.mState).isEqualTo("serving");
        assertThat(post("/v1/instances/perth-a-1/drain")).isEqualTo(200);
        assertThat(get().path("state").asText()).isEqualTo("leaving");
    }

    @Example
    void undrainOfStoppingInstanceIsConflict() throws IOException {
        mDrainControl.mState = "stopping";
        assertThat(post("/v1/instances/perth-a-1/undrain")).isEqualTo(409);
        assertThat(get().path("ready").asBoolean()).isFalse();
    }

    @Example
    void unboundedWaitIsShownAsMinusOne() {
        Headroom full = new Headroom(4, 4, 9, Long.MAX_VALUE, DegradationStep.FAIR_SHARE);
        StatusAnswer.CapacityEntry entry =
                StatusAnswer.CapacityEntry.of(
                        new ServiceId("booking"), new RegionId("perth"), full, "");
        assertThat(entry.expectedWaitMillis()).isEqualTo(-1);
    }

    private StatusAnswer status() {
        List<String> reasons =
                mDrainControl.mState.equals("serving") ? List.of() : List.of("It is leaving.");
        return StatusAnswer.of(
                new Incarnation(INSTANCE, 3),
                new ZoneId("perth-a"),
                mDrainControl.mState,
                reasons,
                new ConfigurationVersion(12));
    }

    private JsonNode get() throws IOException {
        Request request = new Request.Builder().url(url("/v1/status")).build();
        try (Response response = mClient.newCall(request).execute()) {
            return new ObjectMapper().readTree(response.body().string());
        }
    }

    private int post(String path) throws IOException {
        Request request =
                new Request.Builder().url(url(path)).post(RequestBody.create(new byte[0])).build();
        try (Response response = mClient.newCall(request).execute()) {
            return response.code();
        }
    }

    private String url(String path) {
        return "http://127.0.0.1:" + mServer.port() + path;
    }

    /** Fake that moves through the states of a planned stop. */
    private static final class FakeDrainControl implements DrainControl {

        private String mState = "serving";

        @Override
        public void drain() {
            mState = "leaving";
        }

        @Override
        public boolean undrain() {
            if (mState.equals("stopping")) {
                return false;
            }
            mState = "serving";
            return true;
        }
    }
}
