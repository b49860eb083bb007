/**
 * Open-loop load generator whose callers abandon slow attempts and retry.
 */
package org.wasabicart.standin.caller;
