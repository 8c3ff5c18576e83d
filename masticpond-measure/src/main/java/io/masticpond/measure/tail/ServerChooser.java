package io.masticpond.measure.tail;

/** Strategy interface for choosing a backend server at an entry instance. */
@FunctionalInterface
interface ServerChooser {

    /**
     * Chooses a server.
     *
     * @param instance the entry instance
     * @return the server
     */
    int choose(int instance);

    /**
     * Notifies this chooser that an answer of a server arrived at the entry instance.
     *
     * @param instance the entry instance
     * @param server the server
     */
    default void answered(int instance, int server) {}
}
