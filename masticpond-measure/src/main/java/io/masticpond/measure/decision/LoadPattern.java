package io.masticpond.measure.decision;

import java.util.concurrent.TimeUnit;

/** What happens during a play, by what it is and not by where it was seen. */
enum LoadPattern {
    /** All objects are new to all servers at the start. */
    COLD_START {
        @Override
        void schedule(DecisionSimulation world) {}
    },
    /** More requests than usual, for a time. */
    BURST {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.load(1.5));
            world.at(13, () -> world.load(1));
        }
    },
    /** All servers of one service turn a part away, whatever their load. */
    SERVICE_SHEDS {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.shed(0, 1, 0.55));
            world.at(16, () -> world.shed(0, 1, 0));
        }
    },
    /** A few servers turn nearly everything away. */
    SERVERS_SHED {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.shed(0, 0.2, 0.9));
            world.at(16, () -> world.shed(0, 0.2, 0));
        }
    },
    /** Servers turn slow. */
    SERVERS_SLOW {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.slow(0.15, 5));
            world.at(14, () -> world.slow(0.15, 1));
        }
    },
    /** Servers fall silent and leave the registry after three seconds. */
    SERVERS_DIE {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.kill(0.12));
            world.at(11, world::removeTerminated);
        }
    },
    /** What is left of a service is just too little for its requests. */
    SERVICE_SHORT {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.kill(0, 0.55));
            world.at(11, world::removeTerminated);
        }
    },
    /** All instances lose what they know, and all clients come back. */
    INSTANCES_RESTART {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.stopInstances(TimeUnit.MILLISECONDS.toNanos(1500)));
        }
    },
    /** Clients of one zone move to another region. */
    CLIENTS_MOVE {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(8, () -> world.move(0, 1, 0.7));
            world.at(14, () -> world.move(0, 1, 0));
        }
    },
    /** A zone's servers may not be used. */
    ZONE_EVACUATED {
        @Override
        void schedule(DecisionSimulation world) {
            world.at(2, () -> world.evacuate(0, true));
            world.at(10, () -> world.evacuate(0, false));
        }
    },
    /** Many more objects than servers keep. */
    MANY_OBJECTS {
        @Override
        void schedule(DecisionSimulation world) {}

        @Override
        int objectMultiple() {
            return 6;
        }
    };

    abstract void schedule(DecisionSimulation world);

    int objectMultiple() {
        return 1;
    }
}
