package org.wasabicart.core.overload;

import java.util.Optional;

/**
 * Share of the new requests of a route that is admitted.
 *
 * @param share share, above 0 and at most 1
 * @param scarcest shortage that determines it, or empty if no needed service is short
 */
public record AdmittedShare(double share, Optional<Shortage> scarcest) {

}
