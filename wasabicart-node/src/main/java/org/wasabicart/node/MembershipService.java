package org.wasabicart.node;

import java.io.IOException;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jboss.logging.Logger;

import org.wasabicart.configuration.ConfigurationException;
import org.wasabicart.configuration.ConfigurationFormat;
import org.wasabicart.core.model.Member;
import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.Revision;
import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.membership.LocalAnnouncement;
import org.wasabicart.node.membership.MembershipListener;
import org.wasabicart.node.membership.MembershipRunner;
import org.wasabicart.node.membership.MembershipRunnerSettings;
import org.wasabicart.node.peer.PeerTransport;
import org.wasabicart.store.StoreClient;
import org.wasabicart.wire.generated.link.ControlRequest;
import org.wasabicart.wire.generated.link.ControlResponse;

/**
 * Runs membership and the distribution of the configuration with the node. Announces the
 * local backend server to peers.
 */
final class MembershipService implements NodeService {

	private static final Logger LOGGER = Logger.getLogger(MembershipService.class);

	private static final long SHUTDOWN_TIMEOUT_MILLISECONDS = 1000;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
			new DefaultThreadFactory("membership", true), NioIoHandler.newFactory());

	private final NodeParts parts;

	private final MembershipRunner runner;

	private final ConfigurationFormat configurationFormat = new ConfigurationFormat();

	private final Optional<StoreClient> store;

	MembershipService(NodeParts parts, byte[] sharedKey, PeerTransport transport, Optional<StoreClient> store,
			MembershipListener listener) {
		this.store = store;
		this.parts = parts;
		MembershipRunnerSettings settings = new MembershipRunnerSettings(parts.settings().nodeId(), parts.instance(),
				parts.settings().failureDomain(), parts.settings().region(), parts.settings().listenAddress(),
				parts.settings().advertisedAddress(), parts.settings().seeds(), Optional.of(sharedKey));
		this.runner = new MembershipRunner(settings, this.group, this::announcement, listener);
		this.runner.enableDistribution(store, transport, this::adopt);
	}

	private boolean adopt(Revision revision, byte[] json) {
		try {
			this.parts.configuration()
				.adopt(this.configurationFormat.readSnapshot("revision " + revision, json, revision));
			return true;
		}
		catch (ConfigurationException ex) {
			LOGGER.errorf("event=configuration-invalid revision=%s findings=%s", revision, ex.findings());
			return false;
		}
	}

	ControlResponse answer(ControlRequest request) {
		return this.runner.answer(request);
	}

	private LocalAnnouncement announcement() {
		LocalServerHolder localServer = this.parts.localServer();
		Optional<LocalServer> server = localServer.server();
		ServiceName service = server.map(LocalServer::service).orElse(LocalAnnouncement.UNANNOUNCED);
		// The announcement of the backend server can change between the two reads.
		MemberState state = (server.isEmpty() && !localServer.draining()) ? MemberState.STARTING : localServer.state();
		return new LocalAnnouncement(service, state, server.map(LocalServer::slots).orElse(0),
				this.parts.configuration().current().revision());
	}

	@Override
	public void start() throws IOException {
		try {
			this.runner.start();
		}
		catch (RuntimeException ex) {
			throw new IOException("Cannot start membership on " + this.parts.settings().listenAddress(), ex);
		}
		this.parts.localServer().addListener(this.runner::announcementChanged);
		this.parts.configuration().addListener((snapshot) -> this.runner.announcementChanged());
	}

	Collection<Member> members() {
		return this.runner.members();
	}

	MembershipRunner runner() {
		return this.runner;
	}

	@Override
	public void close() {
		this.runner.close();
		this.store.ifPresent(StoreClient::close);
		this.group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

}
