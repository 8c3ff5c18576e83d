/**
 * The request path: from the entry side, where a request is charged and its region is chosen, to
 * the admitter side, where it is given a slot of a backend server. Independent of HTTP and Netty.
 */
package io.masticpond.daemon.steering;
