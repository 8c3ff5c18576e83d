/**
 * Counters of events in an instance and their exposition to a scraper. Counting is a few additions;
 * the library that formats metrics is loaded by the first scrape, since loading it takes longer
 * than the rest of a start may take.
 */
package io.masticpond.entry.metrics;
