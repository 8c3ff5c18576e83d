/** General utility classes, which must not depend on any other package. */
package io.masticpond.core.support;
