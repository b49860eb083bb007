/**
 * Value types, policies and outcomes that all decisions share.
 */
package org.wasabicart.core.model;
