/**
 * Admission of requests by the capacity of a whole service, and its fair division between callers
 * over all instances. Must not depend on connections, messages and HTTP.
 */
package io.masticpond.core.capacity;
