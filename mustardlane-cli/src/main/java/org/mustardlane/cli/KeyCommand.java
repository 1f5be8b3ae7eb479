package org.mustardlane.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Creates a random key for an organisation and the digest of the key, which the catalogue
 * stores instead of the key.
 */
final class KeyCommand implements Command {

	private static final int KEY_BYTES = 32;

	private final SecureRandom random = new SecureRandom();

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		return this::createKey;
	}

	private Report createKey() throws CommandException {
		byte[] bytes = new byte[KEY_BYTES];
		this.random.nextBytes(bytes);
		String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
		return new KeyReport(key, digest(key));
	}

	private static String digest(String key) throws CommandException {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new CommandException(ExitCode.INTERNAL_ERROR, "this Java runtime does not support SHA-256");
		}
	}

	/**
	 * A key and its digest.
	 *
	 * @param key the key that the organisation sends with its requests
	 * @param keyDigest SHA-256 digest of the key in hexadecimal, for the catalogue
	 */
	record KeyReport(String key, String keyDigest) implements Report {

		@Override
		public String text() {
			return "key:       " + this.key + "\nkeyDigest: " + this.keyDigest + "\n";
		}

		@Override
		public ExitCode exitCode() {
			return ExitCode.OK;
		}

	}

}
