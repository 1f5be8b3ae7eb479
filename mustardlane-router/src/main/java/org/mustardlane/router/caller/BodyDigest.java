package org.mustardlane.router.caller;

import java.security.MessageDigest;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * Digests bodies with SHA-256.
 */
final class BodyDigest {

	private BodyDigest() {
	}

	/**
	 * Digests a body.
	 * @param body the body
	 * @return its SHA-256
	 */
	static byte[] of(byte[] body) {
		MessageDigest digest = DigestUtils.getSha256Digest();
		return digest.digest(body);
	}

}
