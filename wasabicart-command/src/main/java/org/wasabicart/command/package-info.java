/**
 * Command line for operators. Each subcommand implements
 * {@link org.wasabicart.command.Command}; {@link org.wasabicart.command.CommandMain}
 * selects and runs it.
 */
package org.wasabicart.command;
