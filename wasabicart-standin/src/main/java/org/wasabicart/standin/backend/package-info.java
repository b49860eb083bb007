/**
 * Model of the platform's backend servers.
 */
package org.wasabicart.standin.backend;
