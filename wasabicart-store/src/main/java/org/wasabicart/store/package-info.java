/**
 * Client of the platform's key-value store over the JSON gateway of etcd version 3, and
 * publisher of the configuration.
 */
package org.wasabicart.store;
