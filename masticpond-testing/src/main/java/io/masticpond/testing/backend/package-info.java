/** Stand-ins for backend servers with slots, service times, drains, faults and an execution log. */
package io.masticpond.testing.backend;
