/**
 * Client of the key-value store's JSON gateway.
 */
package org.wasabicart.store;
