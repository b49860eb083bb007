package org.wasabicart.experiment.harness;

/**
 * One backend server of a deployment with its node.
 *
 * @param index number in the deployment
 * @param name node id
 * @param service service of the backend server
 * @param domain failure domain
 * @param httpUrl address for callers and operators
 * @param localHttpUrl address for the backend server
 * @param listenAddress address of links and membership
 * @param advertisedAddress address that its peers know
 * @param backendAddress address of the backend server
 */
public record DeployedNode(int index, String name, String service, DomainModel domain, String httpUrl,
		String localHttpUrl, String listenAddress, String advertisedAddress, String backendAddress) {

	/**
	 * Returns the address that takes the backend server's faults.
	 * @return the URL
	 */
	public String backendFaultsUrl() {
		return "http://" + this.backendAddress + "/standin/faults";
	}

}
