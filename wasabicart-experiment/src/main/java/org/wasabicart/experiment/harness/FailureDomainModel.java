package org.wasabicart.experiment.harness;

/**
 * Failure domain of a deployment.
 *
 * @param name failure domain
 * @param region region that it is in
 */
public record FailureDomainModel(String name, String region) {

}
