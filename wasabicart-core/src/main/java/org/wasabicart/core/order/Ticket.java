package org.wasabicart.core.order;

import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.wasabicart.core.model.InstanceNumber;
import org.wasabicart.core.model.NodeId;

/**
 * Authorizes at most one execution of an order. Only the process instance of the home
 * node that is named in the ticket starts it.
 * <p>
 * Example of the text form: {@code node-3~1764800000000~0f8c9a...} with 32 hexadecimal
 * digits at the end.
 *
 * @param home home node, which issued the ticket
 * @param instance process instance of the home node
 * @param secret 128 random bits in hexadecimal digits, so that tickets cannot be guessed
 */
public record Ticket(NodeId home, InstanceNumber instance, String secret) {

	private static final Pattern FORMAT = Pattern.compile("([A-Za-z0-9._-]{1,64})~([0-9]{1,18})~([0-9a-f]{32})");

	private static final int SECRET_BYTES = 16;

	public Ticket {
		Objects.requireNonNull(home, "home");
		Objects.requireNonNull(instance, "instance");
		Objects.requireNonNull(secret, "secret");
	}

	/**
	 * Creates a ticket.
	 * @param home home node
	 * @param instance process instance of the home node
	 * @param random secure random source
	 * @return the ticket
	 */
	public static Ticket create(NodeId home, InstanceNumber instance, RandomGenerator random) {
		byte[] secret = new byte[SECRET_BYTES];
		random.nextBytes(secret);
		return new Ticket(home, instance, HexFormat.of().formatHex(secret));
	}

	/**
	 * Parses the text form of a ticket.
	 * @param text text form
	 * @return the ticket, or empty if the text is not a valid ticket
	 */
	public static Optional<Ticket> parse(String text) {
		Matcher matcher = FORMAT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(new Ticket(new NodeId(matcher.group(1)),
				new InstanceNumber(Long.parseLong(matcher.group(2))), matcher.group(3)));
	}

	@Override
	public String toString() {
		return this.home + "~" + this.instance + "~" + this.secret;
	}

}
