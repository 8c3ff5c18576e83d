package io.masticpond.command.task;

/** Sample responses of instances. */
final class Documents {

    static final String PLAN =
            """
            {"id":"p-1","base":41,"operator":"amina","expires":"2026-12-02T06:30:00Z",
             "differences":[
              {"path":"services[booking].backendServers[bk-1].slots","kind":"CHANGED",
               "before":"3","after":"4"},
              {"path":"services[invoice]","kind":"ADDED","before":"","after":"a service"},
              {"path":"sites[old]","kind":"REMOVED","before":"a site","after":""}],
             "loads":[{"service":"booking","region":"perth","slots":12,"slotsInUse":13.4,
               "observed":true}],
             "spendings":[{"service":"booking","shift":"day","capMicros":120000000,
               "expectedMicros":130500000}],
             "warnings":["Region perth would be overloaded."],"later":{"unknown":1}}
            """;

    private Documents() {}

    static String status(String member, String state, String address) {
        return """
        {"instance":"perth-a-1","incarnation":1764655200000,"zone":"perth-a","state":"serving",
         "ready":true,"configurationVersion":41,"platformReachable":false,"requestsInFlight":3,
         "members":[
          {"instance":"perth-a-1","incarnation":1764655200000,"zone":"perth-a","state":"LIVE",
           "callerAddress":"%s","operatorAddress":"%s","configurationVersion":41},
          {"instance":"%s","incarnation":1764655200000,"zone":"perth-b","state":"%s",
           "callerAddress":"","operatorAddress":"%s","configurationVersion":40}],
         "capacity":[{"service":"booking","region":"perth","usableSlots":36,"inFlight":30,
           "waiting":2,"expectedWaitMillis":-1,"step":"EXACT","admitter":"perth-a-1"}]}
        """
                .formatted(address, address, member, state, address);
    }

    static String timeline(String instance, String... events) {
        return ("{\"instance\":\"%s\",\"incarnation\":7,\"wallMillis\":9,"
                        + "\"overwritten\":0,\"events\":[%s]}")
                .formatted(instance, String.join(",", events));
    }

    static String event(long wallMillis, int counter, String event) {
        return ("{\"wallMillis\":%d,\"counter\":%d,\"part\":\"ADMIT\",\"event\":\"%s\","
                        + "\"service\":\"booking\",\"object\":\"r1\",\"detail\":\"\"}")
                .formatted(wallMillis, counter, event);
    }
}
