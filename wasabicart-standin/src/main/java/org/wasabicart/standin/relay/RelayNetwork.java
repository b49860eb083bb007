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
 * Computes when data between two places arrives, and drops datagrams that are lost. This
 * class is thread-safe.
 */
final class RelayNetwork {

	// Queue of the router in front of a link; datagrams are dropped when it is longer.
	private static final long MAXIMUM_LINK_QUEUE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(200);

	private static final int MAXIMUM_SEGMENT_BYTES = 1460;

	private static final int TCP_IP_HEADER_BYTES = 40;

	private static final int UDP_IP_HEADER_BYTES = 28;

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

	boolean isCut(Place from, Place to) {
		return this.faults.isCut(from, to);
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
		long segments = (bytes + MAXIMUM_SEGMENT_BYTES - 1) / MAXIMUM_SEGMENT_BYTES;
		return departure(now, from, to, bytes + segments * TCP_IP_HEADER_BYTES) + delayNanoseconds(from, to);
	}

	/**
	 * Adds a datagram to the traffic of its link and returns its time of arrival.
	 * @param now time by {@link System#nanoTime()}
	 * @param from sender
	 * @param to receiver
	 * @param bytes length of the payload
	 * @return the time of arrival, or -1 if the datagram is lost
	 */
	long arrivalOfDatagram(long now, Place from, Place to, int bytes) {
		RelayFaults current = this.faults;
		boolean lost = current.lossShare() > 0 && ThreadLocalRandom.current().nextDouble() < current.lossShare();
		if (lost || current.isCut(from, to)) {
			return -1;
		}
		boolean betweenRegions = !from.region().equals(to.region());
		if (betweenRegions && link(from, to).backlogNanoseconds(now) > MAXIMUM_LINK_QUEUE_NANOSECONDS) {
			return -1;
		}
		return departure(now, from, to, bytes + UDP_IP_HEADER_BYTES) + delayNanoseconds(from, to);
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
			directions.put(link.getKey(), link.getValue().sentBytes());
			total += link.getValue().sentBytes();
		}
		ObjectNode counts = Json.object().put("regionBytes", total);
		counts.set("directions", directions);
		return counts;
	}

}
