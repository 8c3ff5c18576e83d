/**
 * Forwarding of requests to admitters at other instances over links, and the receiver of requests
 * that they forward.
 */
package io.masticpond.daemon.forwarding;
