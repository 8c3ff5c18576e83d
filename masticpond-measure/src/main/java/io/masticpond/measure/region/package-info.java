/**
 * Measures of failing regions and partitioned availability zones. They run the real region
 * selector, shard directory and admission against fake backend servers, links and clients in
 * virtual time.
 */
package io.masticpond.measure.region;
