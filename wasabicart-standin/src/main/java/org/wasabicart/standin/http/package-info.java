/**
 * HTTP server and answer format that the stand-ins share.
 */
package org.wasabicart.standin.http;
