package io.masticpond.measure.decision;

import java.util.concurrent.TimeUnit;

/** Events during a simulation, named after what happens rather than after the observed symptom. */
enum LoadPattern {
    /** The caches of all servers are empty at the start, and nothing else happens. */
    COLD_START {
        @Override
        void schedule(DecisionSimulation simulation) {}
    },
    /** The rate of requests is 1.5 times the default for a time. */
    BURST {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.setLoadFactor(1.5));
            simulation.atSecond(13, () -> simulation.setLoadFactor(1));
        }
    },
    /**
     * All servers of one service reject a share of requests for a time, independent of their load.
     */
    SERVICE_SHEDS {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.shed(0, 1, 0.55));
            simulation.atSecond(16, () -> simulation.shed(0, 1, 0));
        }
    },
    /** A few servers reject most requests for a time. */
    SERVERS_SHED {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.shed(0, 0.2, 0.9));
            simulation.atSecond(16, () -> simulation.shed(0, 0.2, 0));
        }
    },
    /** Some servers become slow for a time. */
    SERVERS_SLOW {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.slowDown(0.15, 5));
            simulation.atSecond(14, () -> simulation.slowDown(0.15, 1));
        }
    },
    /** Some servers become unresponsive and leave the registry after three seconds. */
    SERVERS_DIE {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.terminateServers(0.12));
            simulation.atSecond(11, simulation::removeTerminated);
        }
    },
    /**
     * Servers of one service terminate, and the capacity left is just too small for its requests.
     */
    SERVICE_SHORT {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.terminateServers(0, 0.55));
            simulation.atSecond(11, simulation::removeTerminated);
        }
    },
    /** All instances restart without their state, and all clients retry. */
    INSTANCES_RESTART {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(
                    8, () -> simulation.restartInstances(TimeUnit.MILLISECONDS.toNanos(1500)));
        }
    },
    /** Most clients of one zone move to another region for a time. */
    CLIENTS_MOVE {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(8, () -> simulation.moveClients(0, 1, 0.7));
            simulation.atSecond(14, () -> simulation.moveClients(0, 1, 0));
        }
    },
    /** The servers of one zone must not be used for a time. */
    ZONE_EVACUATED {
        @Override
        void schedule(DecisionSimulation simulation) {
            simulation.atSecond(2, () -> simulation.setEvacuated(0, true));
            simulation.atSecond(10, () -> simulation.setEvacuated(0, false));
        }
    },
    /** Clients request many more objects than the servers can cache. */
    MANY_OBJECTS {
        @Override
        void schedule(DecisionSimulation simulation) {}

        @Override
        int objectMultiple() {
            return 6;
        }
    };

    abstract void schedule(DecisionSimulation simulation);

    int objectMultiple() {
        return 1;
    }
}
