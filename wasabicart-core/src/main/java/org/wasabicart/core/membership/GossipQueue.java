package org.wasabicart.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.wasabicart.core.model.MemberState;
import org.wasabicart.core.model.NodeId;

/**
 * Updates to be disseminated, each a limited number of times. An update replaces an
 * earlier one about the same member.
 */
final class GossipQueue {

	private static final Comparator<Item> SENDING_ORDER = Comparator.<Item>comparingInt((item) -> item.priority)
		.thenComparing(Comparator.<Item>comparingInt((item) -> item.remainingTransmissions).reversed());

	/** Duplicates count only while more updates than this are queued. */
	private static final int BURST_THRESHOLD = 24;

	/** Transmissions that a received duplicate saves. */
	private static final int TRANSMISSIONS_PER_DUPLICATE = 2;

	/**
	 * Age at which an update is dropped. Nodes that missed it find it by the comparison
	 * of digests.
	 */
	private static final long MAXIMUM_AGE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private final Map<NodeId, Item> items = new HashMap<>();

	void add(MemberUpdate update, int transmissions, long now) {
		this.items.put(update.id(), new Item(update, transmissions, now));
	}

	/**
	 * Counts an update that a peer sent and that was already known. In a burst of changes
	 * this ends the dissemination of updates that most peers know. In a small queue each
	 * update keeps its full number of transmissions, so that single changes reach all
	 * nodes.
	 * @param update update received
	 */
	void countDuplicate(MemberUpdate update) {
		if (this.items.size() <= BURST_THRESHOLD) {
			return;
		}
		Item item = this.items.get(update.id());
		if (item == null || item.update.getClass() != update.getClass()
				|| item.update.incarnation() != update.incarnation()) {
			return;
		}
		item.remainingTransmissions -= TRANSMISSIONS_PER_DUPLICATE;
		if (item.remainingTransmissions <= 0) {
			this.items.remove(update.id());
		}
	}

	boolean isEmpty() {
		return this.items.isEmpty();
	}

	int size() {
		return this.items.size();
	}

	/**
	 * Returns the updates to send next, and counts each as sent to all receivers.
	 * @param bytes space for the updates
	 * @param receivers number of receivers of the message
	 * @param now current time
	 * @return updates
	 */
	List<MemberUpdate> take(int bytes, int receivers, long now) {
		if (this.items.isEmpty()) {
			return List.of();
		}
		this.items.values().removeIf((item) -> now - item.queuedAt > MAXIMUM_AGE_NANOSECONDS);
		List<Item> candidates = new ArrayList<>(this.items.values());
		if (candidates.size() > 1) {
			candidates.sort(SENDING_ORDER);
		}
		List<MemberUpdate> taken = new ArrayList<>();
		int space = bytes;
		for (Item item : candidates) {
			int size = UpdateSize.of(item.update);
			if (size > space) {
				break;
			}
			space -= size;
			taken.add(item.withCurrentAge(now));
			item.remainingTransmissions -= receivers;
			if (item.remainingTransmissions <= 0) {
				this.items.remove(item.update.id());
			}
		}
		return taken;
	}

	private static final class Item {

		private final MemberUpdate update;

		private final long queuedAt;

		private final int priority;

		private int remainingTransmissions;

		private Item(MemberUpdate update, int remainingTransmissions, long queuedAt) {
			this.update = update;
			this.remainingTransmissions = remainingTransmissions;
			this.queuedAt = queuedAt;
			this.priority = priority(update);
		}

		// Draining members come first, so that their backend servers get no new calls.
		private static int priority(MemberUpdate update) {
			if (update instanceof MemberUpdate.Announced announced) {
				return (announced.member().state() == MemberState.DRAINING) ? 0 : 2;
			}
			return 1;
		}

		private MemberUpdate withCurrentAge(long now) {
			if (this.update instanceof MemberUpdate.Suspected suspected) {
				int age = suspected.ageMilliseconds() + (int) ((now - this.queuedAt) / 1_000_000);
				return new MemberUpdate.Suspected(suspected.id(), suspected.instance(), suspected.incarnation(), age);
			}
			return this.update;
		}

	}

}
