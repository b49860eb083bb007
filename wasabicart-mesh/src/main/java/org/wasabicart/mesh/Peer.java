package org.wasabicart.mesh;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import org.jboss.logging.Logger;

import org.wasabicart.core.mesh.CallOrigin;
import org.wasabicart.core.mesh.MemberLoadReport;
import org.wasabicart.core.mesh.MemberStatus;
import org.wasabicart.core.mesh.MeshMember;
import org.wasabicart.core.model.NodeAddress;
import org.wasabicart.wire.generated.mesh.MeshPing;

/**
 * One other node: its backend server's status and the link to it.
 */
final class Peer implements ClientLink.Listener {

	private static final Logger logger = Logger.getLogger(Peer.class);

	/** A lost first packet is sent again after a second, which is too late for a call. */
	private static final int CONNECT_TIMEOUT_MILLISECONDS = 800;

	private static final long RECONNECT_PAUSE_MINIMUM = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long RECONNECT_PAUSE_MAXIMUM = TimeUnit.SECONDS.toNanos(2);

	private final PeerEnvironment environment;

	private final MemberStatus status;

	private ClientLink link;

	private boolean connecting;

	private boolean removed;

	private long nextConnect;

	private long reconnectPause = RECONNECT_PAUSE_MINIMUM;

	Peer(MeshMember member, PeerEnvironment environment) {
		this.status = new MemberStatus(member);
		this.environment = Objects.requireNonNull(environment, "environment");
		this.status.reachable(false);
		this.nextConnect = System.nanoTime();
	}

	MemberStatus status() {
		return this.status;
	}

	void announced(MeshMember member) {
		NodeAddress before = this.status.member().address();
		this.status.member(member);
		if (!before.equals(member.address()) && this.link != null) {
			this.link.close();
		}
	}

	/**
	 * Returns whether the link is open and the other node answers.
	 * @return whether the other node answers
	 */
	boolean answers() {
		return this.link != null && this.status.reachable();
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

	void tick(long now) {
		if (this.link != null) {
			this.link.tick(now);
		}
		else if (!this.connecting && !this.removed && now - this.nextConnect >= 0) {
			connect();
		}
	}

	private void connect() {
		this.connecting = true;
		ClientLink opened = new ClientLink(this.environment.ownPing(), this);
		NodeAddress address = this.status.member().address();
		ChannelFuture future = Sockets.connect(this.environment.eventLoop(),
				new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLISECONDS,
				new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel channel) {
						FrameCodec.addTo(channel.pipeline());
						channel.pipeline().addLast(opened);
					}
				});
		future.addListener((connected) -> {
			this.connecting = false;
			if (!connected.isSuccess()) {
				pause();
			}
			else if (this.removed) {
				opened.close();
			}
			else {
				logger.infof("event=link-opened peer=%s address=%s", this.status.member().node(), address);
				this.link = opened;
				this.status.reachable(true);
				this.reconnectPause = RECONNECT_PAUSE_MINIMUM;
			}
		});
	}

	private void pause() {
		this.nextConnect = System.nanoTime() + this.reconnectPause;
		this.reconnectPause = Math.min(RECONNECT_PAUSE_MAXIMUM, 2 * this.reconnectPause);
	}

	void remove() {
		this.removed = true;
		if (this.link != null) {
			this.link.closeWhenIdle();
		}
	}

	@Override
	public void load(MemberLoadReport load) {
		this.status.reported(load);
	}

	@Override
	public void origin(String route, CallOrigin origin) {
		this.environment.originListener().origin(route, origin);
	}

	@Override
	public void ping(MeshPing ping) {
		this.environment.pingListener().accept(ping);
	}

	@Override
	public void silent() {
		if (this.status.reachable()) {
			logger.warnf("event=link-silent peer=%s", this.status.member().node());
		}
		this.status.reachable(false);
	}

	@Override
	public void answering() {
		if (!this.status.reachable()) {
			logger.infof("event=link-answers peer=%s", this.status.member().node());
		}
		this.status.reachable(true);
	}

	@Override
	public void closed() {
		if (this.link != null) {
			logger.infof("event=link-closed peer=%s", this.status.member().node());
		}
		this.link = null;
		this.status.reachable(false);
		pause();
	}

}
