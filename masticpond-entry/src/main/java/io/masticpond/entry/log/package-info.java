/**
 * Log of decisions and view changes on standard output, as one JSON object per line. Logging never
 * blocks the calling thread. This package must not depend on how decisions are made.
 */
package io.masticpond.entry.log;
