package org.mustardlane.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Makes a random key for an organisation and the digest that the catalogue holds of it.
 */
final class KeyCommand implements Command {

	private static final int KEY_BYTES = 32;

	private final SecureRandom random = new SecureRandom();

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		return this::make;
	}

	private Report make() throws CommandException {
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
			throw new CommandException(ExitCode.INTERNAL_ERROR, "this Java has no SHA-256");
		}
	}

	/**
	 * A key and its digest.
	 *
	 * @param key what the organisation sends with its requests
	 * @param keyDigest what the catalogue holds
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
