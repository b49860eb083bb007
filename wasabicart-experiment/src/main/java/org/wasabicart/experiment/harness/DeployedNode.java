package org.wasabicart.experiment.harness;

/**
 * One backend server of a deployment with its node.
 *
 * @param index index in the deployment, from 0
 * @param name node id
 * @param service service of the backend server
 * @param domain failure domain
 * @param httpUrl address for callers and operators
 * @param localHttpUrl address for the backend server
 * @param listenAddress address on which it accepts links and membership datagrams
 * @param advertisedAddress address that it advertises to its peers
 * @param backendAddress address of the backend server
 */
public record DeployedNode(int index, String name, String service, FailureDomainModel domain, String httpUrl,
		String localHttpUrl, String listenAddress, String advertisedAddress, String backendAddress) {

	/**
	 * Returns the endpoint that injects faults into the backend server.
	 * @return the URL
	 */
	public String backendFaultsUrl() {
		return "http://" + this.backendAddress + "/standin/faults";
	}

}
