/** Configuration by operators: its content, its chain of versions, and plans to change it. */
package io.masticpond.core.configuration;
