package io.masticpond.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;
import net.jqwik.api.Example;

/** Tests for {@link RegisteredServer}. */
final class RegisteredServerTest {

    private static final BackendServerId ID = new BackendServerId("i-1");
    private static final ServiceId SERVICE = new ServiceId("read");
    private static final ServerAddress ADDRESS = new ServerAddress("10.0.0.1", 80);
    private static final ZoneId ZONE = new ZoneId("a-1");

    @Example
    void everyComponentIsPartOfEquality() {
        ServerAddress otherAddress = new ServerAddress("10.0.0.2", 80);
        RegisteredServer server = new RegisteredServer(ID, SERVICE, ADDRESS, ZONE, 4, false, 7);
        List<RegisteredServer> others =
                List.of(
                        new RegisteredServer(
                                new BackendServerId("i-2"), SERVICE, ADDRESS, ZONE, 4, false, 7),
                        new RegisteredServer(
                                ID, new ServiceId("write"), ADDRESS, ZONE, 4, false, 7),
                        new RegisteredServer(ID, SERVICE, otherAddress, ZONE, 4, false, 7),
                        new RegisteredServer(ID, SERVICE, ADDRESS, new ZoneId("a-2"), 4, false, 7),
                        new RegisteredServer(ID, SERVICE, ADDRESS, ZONE, 5, false, 7),
                        new RegisteredServer(ID, SERVICE, ADDRESS, ZONE, 4, true, 7),
                        new RegisteredServer(ID, SERVICE, ADDRESS, ZONE, 4, false, 8),
                        server.withRun(1));

        assertThat(others).hasSize(RegisteredServer.class.getRecordComponents().length);
        assertThat(others).doesNotContain(server);
    }

    @Example
    void serversWithEqualComponentsAreEqual() {
        RegisteredServer server = new RegisteredServer(ID, SERVICE, ADDRESS, ZONE, 4, false, 7);

        assertThat(server.withColdUntil(8).withColdUntil(7))
                .isEqualTo(server)
                .hasSameHashCodeAs(server);
    }
}
