/**
 * Value types, policies and outcomes that the other packages share.
 */
package org.wasabicart.core.model;
