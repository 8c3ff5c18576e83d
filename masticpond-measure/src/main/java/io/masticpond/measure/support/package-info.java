/**
 * Classes shared by several measures: virtual time, deployments and a service that refuses every
 * request.
 */
package io.masticpond.measure.support;
