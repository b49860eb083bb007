/**
 * Adoption of configuration revisions, which never decrease.
 */
package org.wasabicart.core.adoption;
