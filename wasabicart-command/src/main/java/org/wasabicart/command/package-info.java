/**
 * Operators' command line. Each subcommand is one {@link org.wasabicart.command.Command};
 * {@link org.wasabicart.command.CommandMain} finds and runs it.
 */
package org.wasabicart.command;
