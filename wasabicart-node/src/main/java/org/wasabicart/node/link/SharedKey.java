package org.wasabicart.node.link;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import com.google.protobuf.ByteString;

import org.wasabicart.wire.generated.link.Hello;

/**
 * Proves knowledge of the deployment's shared key with HMAC-SHA256. The proof covers the
 * role, both challenges, the epoch and the prover's identity, so that a proof cannot be
 * reflected or reused on another link.
 */
final class SharedKey {

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	SharedKey(byte[] key) {
		if (key.length == 0) {
			throw new IllegalArgumentException("Shared key is empty");
		}
		this.key = new SecretKeySpec(key, ALGORITHM);
	}

	ByteString prove(LinkRole prover, Hello own, ByteString otherChallenge) {
		return ByteString.copyFrom(compute(prover, own, otherChallenge));
	}

	boolean verify(LinkRole prover, Hello other, ByteString ownChallenge) {
		return MessageDigest.isEqual(compute(prover, other, ownChallenge), other.getProof().toByteArray());
	}

	private byte[] compute(LinkRole prover, Hello hello, ByteString verifierChallenge) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			mac.update((byte) prover.ordinal());
			update(mac, verifierChallenge.toByteArray());
			update(mac, hello.getChallenge().toByteArray());
			update(mac, hello.getNodeId().getBytes(StandardCharsets.UTF_8));
			mac.update(
					ByteBuffer.allocate(2 * Long.BYTES).putLong(hello.getInstance()).putLong(hello.getEpoch()).array());
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HMAC-SHA256 is not available", ex);
		}
	}

	private static void update(Mac mac, byte[] field) {
		mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
		mac.update(field);
	}

}
