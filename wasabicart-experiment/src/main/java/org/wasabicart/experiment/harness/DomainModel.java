package org.wasabicart.experiment.harness;

/**
 * One failure domain.
 *
 * @param name failure domain
 * @param region region that it is in
 */
public record DomainModel(String name, String region) {

}
