package io.masticpond.measure.decision;

import java.util.concurrent.TimeUnit;

/** What happens during a play, by what it is and not by where it was seen. */
enum LoadPattern {
    /** All objects are new to all servers at the start. */
    COLD_START("all objects are new") {
        @Override
        void schedule(DecisionWorld world) {}
    },
    /** More requests than usual, for a time. */
    BURST("1.5 times the requests from 8 to 13 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.load(1.5));
            world.at(13, () -> world.load(1));
        }
    },
    /** All servers of one service turn a part away, whatever their load. */
    SERVICE_SHEDS("all servers of the first service turn away 0.55 from 8 to 16 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.shed(0, 1, 0.55));
            world.at(16, () -> world.shed(0, 1, 0));
        }
    },
    /** A few servers turn nearly everything away. */
    SERVERS_SHED("a fifth of the servers turn away 0.9 from 8 to 16 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.shed(0, 0.2, 0.9));
            world.at(16, () -> world.shed(0, 0.2, 0));
        }
    },
    /** Servers turn slow. */
    SERVERS_SLOW("0.15 of all servers work 5 times as long from 8 to 14 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.slow(0.15, 5));
            world.at(14, () -> world.slow(0.15, 1));
        }
    },
    /** Servers fall silent and leave the registry after three seconds. */
    SERVERS_DIE("0.12 of all servers die at 8 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.kill(0.12));
            world.at(11, world::forgetDead);
        }
    },
    /** What is left of a service is just too little for its requests. */
    SERVICE_SHORT("0.55 of the first service's servers die at 8 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.kill(0, 0.55));
            world.at(11, world::forgetDead);
        }
    },
    /** All instances lose what they know, and all clients come back. */
    INSTANCES_RESTART("all instances are dead from 8 to 9.5 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.stopInstances(TimeUnit.MILLISECONDS.toNanos(1500)));
        }
    },
    /** Clients of one zone move to another region. */
    CLIENTS_MOVE("0.7 of a zone's clients are in another region from 8 to 14 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(8, () -> world.move(0, 1, 0.7));
            world.at(14, () -> world.move(0, 1, 0));
        }
    },
    /** A zone's servers may not be used. */
    ZONE_EVACUATED("a zone's servers get nothing from 2 to 10 s") {
        @Override
        void schedule(DecisionWorld world) {
            world.at(2, () -> world.evacuate(0, true));
            world.at(10, () -> world.evacuate(0, false));
        }
    },
    /** Many more objects than servers keep. */
    MANY_OBJECTS("six times the objects") {
        @Override
        void schedule(DecisionWorld world) {}

        @Override
        int objectMultiple() {
            return 6;
        }
    };

    private final String mText;

    LoadPattern(String text) {
        mText = text;
    }

    String text() {
        return mText;
    }

    abstract void schedule(DecisionWorld world);

    int objectMultiple() {
        return 1;
    }
}
