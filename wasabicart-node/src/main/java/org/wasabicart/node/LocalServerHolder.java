package org.wasabicart.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.MemberState;

/**
 * Holds the announcement of the local backend server, and the state that this node
 * announces to its peers. Safe for use by several threads.
 */
public final class LocalServerHolder {

	/**
	 * Time after which an announcement expires unless it is repeated. Backend servers
	 * repeat it every second, so it expires after three missed repetitions.
	 */
	public static final Duration ANNOUNCEMENT_LIFETIME = Duration.ofMillis(3500);

	private final List<LocalServerListener> listeners = new CopyOnWriteArrayList<>();

	private final Ticker ticker;

	private volatile LocalServer server;

	private volatile boolean draining;

	private long lastAnnouncementNanoseconds;

	/**
	 * Creates a holder without an announcement.
	 * @param ticker monotonic clock for the expiry of announcements
	 */
	public LocalServerHolder(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker");
	}

	/**
	 * Returns the announced backend server.
	 * @return the server, or empty if none has announced itself or the announcement has
	 * expired
	 */
	public Optional<LocalServer> server() {
		return Optional.ofNullable(this.server);
	}

	/**
	 * Returns the state to announce to peers: draining once the node is draining,
	 * starting while no backend server is announced, and the backend server's state
	 * otherwise.
	 * @return the state
	 */
	public MemberState state() {
		if (this.draining) {
			return MemberState.DRAINING;
		}
		LocalServer current = this.server;
		return (current != null) ? current.state() : MemberState.STARTING;
	}

	/**
	 * Returns whether the node, not only its backend server, is draining.
	 * @return whether {@link #drain()} was invoked
	 */
	public boolean draining() {
		return this.draining;
	}

	/**
	 * Records an announcement or its repetition.
	 * @param announced backend server
	 */
	public void announce(LocalServer announced) {
		Objects.requireNonNull(announced, "announced");
		boolean changed;
		synchronized (this) {
			this.lastAnnouncementNanoseconds = this.ticker.nanoseconds();
			changed = !announced.equals(this.server);
			this.server = announced;
		}
		if (changed) {
			notifyListeners();
		}
	}

	/**
	 * Removes the announcement if it has expired. Called periodically.
	 */
	public void tick() {
		synchronized (this) {
			long age = this.ticker.nanoseconds() - this.lastAnnouncementNanoseconds;
			if (this.server == null || age < ANNOUNCEMENT_LIFETIME.toNanos()) {
				return;
			}
			this.server = null;
		}
		notifyListeners();
	}

	/**
	 * Starts draining the node. This cannot be undone.
	 */
	public void drain() {
		this.draining = true;
		notifyListeners();
	}

	/**
	 * Adds a listener for later changes.
	 * @param listener listener
	 */
	public void addListener(LocalServerListener listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener"));
	}

	private void notifyListeners() {
		this.listeners.forEach(LocalServerListener::changed);
	}

}
