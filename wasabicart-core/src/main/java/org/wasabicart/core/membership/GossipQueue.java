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
 * Updates to be passed on, each a limited number of times. An update replaces an earlier
 * one about the same member.
 */
final class GossipQueue {

	private static final Comparator<Item> ORDER = Comparator.<Item>comparingInt((item) -> item.priority)
		.thenComparing(Comparator.<Item>comparingInt((item) -> item.remaining).reversed());

	private static final int BURST_SIZE = 24;

	private static final int DUPLICATE_COST = 2;

	/** After this time the comparison of digests is left to find the rest. */
	private static final long MAXIMUM_AGE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

	private final Map<NodeId, Item> items = new HashMap<>();

	void add(MemberUpdate update, int transmissions, long now) {
		this.items.put(update.id(), new Item(update, transmissions, now));
	}

	/**
	 * Notes that a peer passed on an update that is already known. In a burst of changes
	 * this ends the dissemination of what most peers know; a small queue keeps its full
	 * number of transmissions, so that single changes reach everyone.
	 * @param update update received
	 */
	void duplicate(MemberUpdate update) {
		if (this.items.size() <= BURST_SIZE) {
			return;
		}
		Item item = this.items.get(update.id());
		if (item == null || item.update.getClass() != update.getClass()
				|| item.update.incarnation() != update.incarnation()) {
			return;
		}
		item.remaining -= DUPLICATE_COST;
		if (item.remaining <= 0) {
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
	 * Takes updates up to a size, and counts each as sent to some receivers.
	 * @param bytes space for the updates
	 * @param receivers number of receivers of the message
	 * @param now current time
	 * @return updates
	 */
	List<MemberUpdate> take(int bytes, int receivers, long now) {
		if (this.items.isEmpty()) {
			return List.of();
		}
		this.items.values().removeIf((item) -> now - item.since > MAXIMUM_AGE_NANOSECONDS);
		List<Item> candidates = new ArrayList<>(this.items.values());
		if (candidates.size() > 1) {
			candidates.sort(ORDER);
		}
		List<MemberUpdate> taken = new ArrayList<>();
		int space = bytes;
		for (Item item : candidates) {
			int size = UpdateSize.of(item.update);
			if (size > space) {
				break;
			}
			space -= size;
			taken.add(item.aged(now));
			item.remaining -= receivers;
			if (item.remaining <= 0) {
				this.items.remove(item.update.id());
			}
		}
		return taken;
	}

	private static final class Item {

		private final MemberUpdate update;

		private final long since;

		private final int priority;

		private int remaining;

		private Item(MemberUpdate update, int remaining, long since) {
			this.update = update;
			this.remaining = remaining;
			this.since = since;
			this.priority = priority(update);
		}

		// Draining goes first, so that no new work reaches a departing backend server.
		private static int priority(MemberUpdate update) {
			if (update instanceof MemberUpdate.Announced announced) {
				return (announced.member().state() == MemberState.DRAINING) ? 0 : 2;
			}
			return 1;
		}

		private MemberUpdate aged(long now) {
			if (this.update instanceof MemberUpdate.Suspected suspected) {
				int age = suspected.ageMilliseconds() + (int) ((now - this.since) / 1_000_000);
				return new MemberUpdate.Suspected(suspected.id(), suspected.instance(), suspected.incarnation(), age);
			}
			return this.update;
		}

	}

}
