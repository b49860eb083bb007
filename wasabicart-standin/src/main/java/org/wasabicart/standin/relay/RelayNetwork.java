package org.wasabicart.standin.relay;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.relay.RelayRules.Place;

/**
 * Decides when bytes between two places arrive, and whether they do. Safe for use by
 * several threads.
 */
final class RelayNetwork {

	// Queue of a router in front of the link; longer ones drop datagrams.
	private static final long LINK_QUEUE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final int SEGMENT_BYTES = 1460;

	private static final int TCP_HEADER_BYTES = 40;

	private static final int UDP_HEADER_BYTES = 28;

	private final RelayRules rules;

	private final Map<String, RegionLink> links = new ConcurrentHashMap<>();

	private volatile RelayFaults faults = RelayFaults.NONE;

	RelayNetwork(RelayRules rules) {
		this.rules = rules;
	}

	RelayFaults faults() {
		return this.faults;
	}

	void faults(RelayFaults faults) {
		this.faults = faults;
	}

	boolean cut(Place from, Place to) {
		return this.faults.cut(from, to);
	}

	long delayNanoseconds(Place from, Place to) {
		if (from.failureDomain().equals(to.failureDomain())) {
			return 0;
		}
		boolean sameRegion = from.region().equals(to.region());
		double milliseconds = sameRegion ? this.rules.domainMilliseconds() : this.rules.regionMilliseconds();
		return Math.round((milliseconds + this.faults.extraMilliseconds()) * 1e6);
	}

	long arrivalOfSegments(long now, Place from, Place to, int bytes) {
		long segments = (bytes + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
		return departure(now, from, to, bytes + segments * TCP_HEADER_BYTES) + delayNanoseconds(from, to);
	}

	/**
	 * Returns the arrival of a datagram.
	 * @param now time by {@link System#nanoTime()}
	 * @param from sender
	 * @param to receiver
	 * @param bytes payload
	 * @return the time of arrival, or -1 if the datagram is lost
	 */
	long arrivalOfDatagram(long now, Place from, Place to, int bytes) {
		RelayFaults current = this.faults;
		boolean lost = current.lossShare() > 0 && ThreadLocalRandom.current().nextDouble() < current.lossShare();
		if (lost || current.cut(from, to)) {
			return -1;
		}
		boolean crossing = !from.region().equals(to.region());
		if (crossing && link(from, to).backlogNanoseconds(now) > LINK_QUEUE_NANOSECONDS) {
			return -1;
		}
		return departure(now, from, to, bytes + UDP_HEADER_BYTES) + delayNanoseconds(from, to);
	}

	private long departure(long now, Place from, Place to, long bytes) {
		return from.region().equals(to.region()) ? now : link(from, to).send(now, bytes);
	}

	private RegionLink link(Place from, Place to) {
		return this.links.computeIfAbsent(from.region() + ">" + to.region(),
				(ignored) -> new RegionLink(this.rules.regionMegabits()));
	}

	ObjectNode counts() {
		ObjectNode directions = Json.object();
		long total = 0;
		for (Map.Entry<String, RegionLink> link : new TreeMap<>(this.links).entrySet()) {
			directions.put(link.getKey(), link.getValue().bytes());
			total += link.getValue().bytes();
		}
		ObjectNode counts = Json.object().put("regionBytes", total);
		counts.set("directions", directions);
		return counts;
	}

}
