/**
 * HTTP API by which operators read the state, the view and the recent decisions of an instance. Its
 * documents change nothing, and it must not depend on how requests are served. It runs on the
 * control thread and queries the traffic thread rarely.
 */
package io.masticpond.entry.control;
