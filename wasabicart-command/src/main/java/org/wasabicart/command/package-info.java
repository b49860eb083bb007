/**
 * Operators' command line.
 */
package org.wasabicart.command;
