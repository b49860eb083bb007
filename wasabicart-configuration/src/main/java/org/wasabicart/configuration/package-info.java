/**
 * Configuration library, its JSON format and its checks.
 */
package org.wasabicart.configuration;
