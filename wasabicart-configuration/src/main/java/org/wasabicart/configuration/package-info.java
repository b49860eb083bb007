/**
 * Configuration library. An operator's program builds a section with
 * {@link org.wasabicart.configuration.ConfigurationBuilder} and prints it;
 * {@link org.wasabicart.configuration.ConfigurationFormat} reads and checks the printed
 * JSON.
 */
package org.wasabicart.configuration;
