package org.wasabicart.mesh;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.mesh.ServerState;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.core.model.NodeId;
import org.wasabicart.core.overload.Shortage;
import org.wasabicart.mesh.allotment.FleetLink;
import org.wasabicart.wire.generated.mesh.MeshAllotmentGrant;
import org.wasabicart.wire.generated.mesh.MeshAllotmentReport;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * Another node: the status of its backend server and the link to the node.
 */
final class Peer implements ClientLink.Listener, FleetLink {

	private static final Logger logger = Logger.getLogger(Peer.class);

	/** The kernel resends a lost SYN only after 1 s, which is too late for a call. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 800;

	private static final long MINIMUM_RECONNECT_DELAY = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long MAXIMUM_RECONNECT_DELAY = TimeUnit.SECONDS.toNanos(2);

	private final PeerEnvironment environment;

	private final MemberStatus status;

	private ClientLink link;

	private boolean connecting;

	private boolean removed;

	private boolean storeAway;

	private long nextConnect;

	private long reconnectDelay = MINIMUM_RECONNECT_DELAY;

	Peer(MeshMember member, PeerEnvironment environment) {
		this.status = new MemberStatus(member, environment.incarnationRecords());
		this.environment = Objects.requireNonNull(environment, "environment");
		this.status.reachable(false);
		this.nextConnect = System.nanoTime();
	}

	MemberStatus status() {
		return this.status;
	}

	void announced(MeshMember member) {
		NodeAddress previous = this.status.member().address();
		this.status.member(member);
		reportLeaving();
		if (!previous.equals(member.address()) && this.link != null) {
			this.link.close();
		}
	}

	CallHandle send(Call call, CallListener listener) {
		this.status.sent();
		CallHandle handle = this.link.send(call, (result) -> {
			this.status.ended();
			listener.ended(result);
		});
		return () -> {
			this.status.ended();
			handle.cancel();
		};
	}

	/**
	 * Returns whether the node runs although the store does not serve it, so that it
	 * cannot maintain its entry.
	 * @return whether the node has said so, and its link answers
	 */
	boolean runsWithoutStore() {
		return this.storeAway && this.status.reachable();
	}

	void tick(long now, long idlePingDelay) {
		if (this.link != null) {
			this.link.tick(now, idlePingDelay);
		}
		else if (!this.connecting && !this.removed && now - this.nextConnect >= 0) {
			connect();
		}
	}

	private void connect() {
		this.connecting = true;
		ClientLink newLink = new ClientLink(this.environment.ownPing(), this);
		NodeAddress address = this.status.member().address();
		ChannelFuture future = Sockets.connect(this.environment.eventLoop(),
				new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLISECONDS,
				new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel channel) {
						FrameCodec.addTo(channel.pipeline(), Peer.this.environment.memory());
						channel.pipeline().addLast(newLink);
					}
				});
		future.addListener((connected) -> {
			this.connecting = false;
			if (!connected.isSuccess()) {
				scheduleReconnect();
			}
			else if (this.removed) {
				newLink.close();
			}
			else {
				logger.infof("event=link-opened peer=%s address=%s", this.status.member().node(), address);
				this.link = newLink;
			}
		});
	}

	private void scheduleReconnect() {
		this.nextConnect = System.nanoTime() + this.reconnectDelay;
		this.reconnectDelay = Math.min(MAXIMUM_RECONNECT_DELAY, 2 * this.reconnectDelay);
	}

	void remove() {
		this.removed = true;
		if (this.link != null) {
			this.link.closeWhenIdle();
		}
	}

	@Override
	public void loadReported(MemberLoadReport load) {
		this.status.reported(load, System.nanoTime());
	}

	@Override
	public void originReported(String route, CallOrigin origin) {
		this.environment.originListener().origin(route, origin);
	}

	@Override
	public void shortagesReported(String route, List<Shortage> reports, long now) {
		this.environment.signals().reported(route, reports, now);
	}

	@Override
	public void pingReceived(MeshPing ping) {
		this.status.nodeStopping(ping.getStopping());
		this.storeAway = ping.getStoreAway();
		this.environment.pingListener().pingReceived(ping, this::readConfiguration);
	}

	// A node that restarts knows only what the store has, which may be older.
	private void reportLeaving() {
		if (this.link == null || !this.status.reachable() || !this.status.leavingUnannounced()) {
			return;
		}
		MeshMember member = this.status.member();
		logger.infof("event=leaving-reported peer=%s instance=%s", member.node(), member.instance());
		this.link.send(NodeCalls.reportMember(member.withState(ServerState.LEAVING), System.nanoTime()),
				(result) -> logger.debugf("event=leaving-report-ended peer=%s result=%s", member.node(), result));
	}

	private void readConfiguration(Consumer<byte[]> listener) {
		if (this.link == null) {
			listener.accept(null);
			return;
		}
		this.link.send(NodeCalls.readConfiguration(System.nanoTime()), (result) -> listener.accept(
				(result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.OK.code())
						? answered.body() : null));
	}

	@Override
	public NodeId node() {
		return this.status.member().node();
	}

	@Override
	public boolean reachable() {
		return this.link != null && this.status.reachable();
	}

	@Override
	public boolean stopping() {
		return this.status.nodeStopping();
	}

	@Override
	public Object connection() {
		return this.link;
	}

	@Override
	public void send(MeshAllotmentReport report) {
		if (this.link != null) {
			this.link.sendReport(report);
		}
	}

	@Override
	public void allotmentGranted(MeshAllotmentGrant grant) {
		this.environment.grantListener().granted(this, grant);
	}

	/**
	 * Exchanges the versions of the configurations in force with the other node.
	 */
	@Override
	public void ping() {
		if (this.link != null) {
			this.link.ping(System.nanoTime());
		}
	}

	@Override
	public void linkSilent() {
		if (this.status.reachable()) {
			logger.warnf("event=link-silent peer=%s", this.status.member().node());
		}
		this.status.reachable(false);
	}

	@Override
	public void linkAnswering() {
		if (!this.status.reachable()) {
			logger.infof("event=link-answers peer=%s", this.status.member().node());
		}
		this.status.reachable(true);
		reportLeaving();
		this.reconnectDelay = MINIMUM_RECONNECT_DELAY;
	}

	@Override
	public void linkClosed() {
		if (this.link != null) {
			logger.infof("event=link-closed peer=%s", this.status.member().node());
		}
		this.link = null;
		this.status.reachable(false);
		scheduleReconnect();
	}

}
