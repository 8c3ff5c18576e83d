package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;

/** Strategy interface for sending datagrams to other instances. */
interface PeerOutput {

    /**
     * Sends a message, without any confirmation that it arrives.
     *
     * @param to the address at which the other instance receives heartbeats
     * @param message the message
     */
    void send(ServerAddress to, PeerMessage message);
}
