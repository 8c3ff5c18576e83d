/** Selection of the region of a request, with the related budgets. Performs no I/O. */
package io.masticpond.core.region;
