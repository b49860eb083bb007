/**
 * Configuration library. The product manager and the operations lead each own a section,
 * which their program builds with
 * {@link org.wasabicart.configuration.ConfigurationBuilder} and prints as JSON;
 * {@link org.wasabicart.configuration.ConfigurationFormat} reads and checks the JSON.
 */
package org.wasabicart.configuration;
