/**
 * HTTP servers for callers, operators and the local backend server, and the HTTP client
 * towards the local backend server.
 */
package org.wasabicart.node.http;
