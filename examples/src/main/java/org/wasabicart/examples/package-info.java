/**
 * Example configurations. Each class prints one deployment's configuration as JSON.
 */
package org.wasabicart.examples;
