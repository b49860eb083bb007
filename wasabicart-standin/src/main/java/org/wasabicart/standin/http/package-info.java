/**
 * HTTP server, answer format, JSON and command-line flags that the stand-ins share.
 */
package org.wasabicart.standin.http;
