package org.wasabicart.wire;

import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;

import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

import org.wasabicart.wire.generated.membership.MembershipMessage;

/**
 * Appends an HMAC to a datagram as its last protobuf field, and verifies it.
 */
final class DatagramAuthentication {

	/** HMAC-SHA256 truncated to 128 bits, to keep frequent datagrams small. */
	private static final int TAG_BYTES = 16;

	private static final int PROTOBUF_LENGTH_DELIMITED = 2;

	private static final byte[] FIELD_HEADER = {
			(byte) (MembershipMessage.AUTHENTICATION_FIELD_NUMBER << 3 | PROTOBUF_LENGTH_DELIMITED), TAG_BYTES };

	private static final int SUFFIX_BYTES = FIELD_HEADER.length + TAG_BYTES;

	private final Optional<HmacUtils> hmac;

	DatagramAuthentication(Optional<byte[]> sharedKey) {
		this.hmac = sharedKey.map((key) -> new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key));
	}

	byte[] sign(byte[] message) {
		if (this.hmac.isEmpty()) {
			return message;
		}
		byte[] tag = this.hmac.get().hmac(message);
		byte[] signed = Arrays.copyOf(message, message.length + SUFFIX_BYTES);
		System.arraycopy(FIELD_HEADER, 0, signed, message.length, FIELD_HEADER.length);
		System.arraycopy(tag, 0, signed, message.length + FIELD_HEADER.length, TAG_BYTES);
		return signed;
	}

	boolean isAuthentic(byte[] datagram) {
		if (this.hmac.isEmpty()) {
			return true;
		}
		int messageLength = datagram.length - SUFFIX_BYTES;
		if (messageLength < 0) {
			return false;
		}
		byte[] expected = sign(Arrays.copyOf(datagram, messageLength));
		return MessageDigest.isEqual(expected, datagram);
	}

}
