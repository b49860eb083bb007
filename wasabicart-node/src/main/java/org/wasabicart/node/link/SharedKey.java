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
 * role, both challenges, the epoch and the prover's identity, so that it cannot be
 * reflected to its sender or replayed on another link.
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

	ByteString prove(LinkRole prover, Hello own, ByteString peerChallenge) {
		return ByteString.copyFrom(computeProof(prover, own, peerChallenge));
	}

	boolean verify(LinkRole prover, Hello peer, ByteString ownChallenge) {
		return MessageDigest.isEqual(computeProof(prover, peer, ownChallenge), peer.getProof().toByteArray());
	}

	private byte[] computeProof(LinkRole prover, Hello hello, ByteString verifierChallenge) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			mac.update((byte) prover.ordinal());
			updateWithLength(mac, verifierChallenge.toByteArray());
			updateWithLength(mac, hello.getChallenge().toByteArray());
			updateWithLength(mac, hello.getNodeId().getBytes(StandardCharsets.UTF_8));
			mac.update(
					ByteBuffer.allocate(2 * Long.BYTES).putLong(hello.getInstance()).putLong(hello.getEpoch()).array());
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HMAC-SHA256 is not available", ex);
		}
	}

	private static void updateWithLength(Mac mac, byte[] field) {
		mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
		mac.update(field);
	}

}
