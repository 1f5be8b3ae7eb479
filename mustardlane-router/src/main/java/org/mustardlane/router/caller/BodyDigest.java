package org.mustardlane.router.caller;

import java.security.MessageDigest;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * Computes SHA-256 digests of request bodies.
 */
final class BodyDigest {

	private BodyDigest() {
	}

	/**
	 * Returns the digest of a body.
	 * @param body the body
	 * @return the SHA-256 digest
	 */
	static byte[] of(byte[] body) {
		MessageDigest digest = DigestUtils.getSha256Digest();
		return digest.digest(body);
	}

}
