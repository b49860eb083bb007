/**
 * Stand-in for the platform's key-value store: the part of etcd's version 3 JSON gateway
 * that the project uses.
 */
package org.wasabicart.standin.store;
