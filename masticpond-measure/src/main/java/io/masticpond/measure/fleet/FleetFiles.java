package io.masticpond.measure.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Factory methods for the contents of the settings files of a fleet's processes. */
final class FleetFiles {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double SIGMA = 1;

    private FleetFiles() {}

    /**
     * Creates the settings of the stand-in backend servers.
     *
     * @param content the operators' configuration
     * @param serviceMillis the mean service time, in milliseconds
     * @return the settings for the stand-in
     */
    static ArrayNode backendSettings(JsonNode content, double serviceMillis) {
        ArrayNode servers = MAPPER.createArrayNode();
        int seed = 1;
        for (JsonNode service : content.get("services")) {
            for (JsonNode server : service.get("backendServers")) {
                ObjectNode each = servers.addObject();
                each.put("id", server.get("id").asText());
                each.put("address", server.get("address").asText());
                each.put("slots", server.get("slots").asInt());
                each.put("queue", server.get("slots").asInt());
                each.put("meanMillis", serviceMillis);
                each.put("sigma", SIGMA);
                each.put("seed", seed++);
            }
        }
        return servers;
    }

    /**
     * Creates the settings of an instance.
     *
     * @param instance the instance
     * @param all all instances of the fleet; the others become the seeds of its links
     * @param token the operators' token
     * @param platformAddress the address of the platform as "ip:port"
     * @return the settings for the daemon
     */
    static ObjectNode instanceSettings(
            FleetInstance instance, List<FleetInstance> all, String token, String platformAddress) {
        ObjectNode settings = MAPPER.createObjectNode();
        settings.putObject("instance").put("id", instance.id()).put("zone", instance.zone());
        settings.putObject("caller").put("address", instance.callerAddress());
        ObjectNode operator = settings.putObject("operator");
        operator.put("address", instance.operatorAddress());
        operator.putArray("tokens").addObject().put("name", "loopback").put("value", token);
        ObjectNode link = settings.putObject("link");
        link.put("address", instance.linkAddress());
        ArrayNode seeds = link.putArray("seeds");
        all.stream()
                .filter(other -> !other.equals(instance))
                .map(FleetInstance::linkAddress)
                .forEach(seeds::add);
        link.putArray("keys").addObject().put("id", "first").put("value", "loopback-key-" + token);
        settings.putObject("platform").putArray("addresses").add(platformAddress);
        return settings;
    }
}
