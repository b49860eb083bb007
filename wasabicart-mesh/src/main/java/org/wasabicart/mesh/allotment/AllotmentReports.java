package org.wasabicart.mesh.allotment;

import java.util.function.Consumer;

import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;

/**
 * Receives the reports of other nodes.
 */
public interface AllotmentReports {

	/**
	 * Another node has sent a report.
	 * @param connection connection on which it was sent
	 * @param report report
	 * @param sender sends grants on the connection
	 */
	void received(Object connection, MeshAllotmentReport report, Consumer<MeshAllotmentGrant> sender);

	/**
	 * A connection has ended.
	 * @param connection connection
	 */
	void closed(Object connection);

}
