import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reads the heads and bodies of HTTP/1.1 messages from a socket.
 */
final class Messages {

	private static final int MAX_LINE_BYTES = 65_536;

	private Messages() {
	}

	/**
	 * Head of a request or a response.
	 *
	 * @param startLine request line or status line
	 * @param headers values by lowercase name
	 */
	record Head(String startLine, Map<String, String> headers) {

		Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name.toLowerCase(Locale.ROOT)));
		}

		/**
		 * Returns the status of a response.
		 * @return the status
		 */
		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

		String path() {
			return this.startLine.split(" ")[1];
		}

		boolean isChunked() {
			return header("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent();
		}

	}

	/**
	 * Reads a head.
	 * @param input the connection
	 * @return the head, or empty if the connection ended before its first byte
	 * @throws IOException if the connection ends within the head or fails
	 */
	static Optional<Head> readHead(InputStream input) throws IOException {
		String startLine = readLine(input);
		if (startLine == null) {
			return Optional.empty();
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = requireLine(input); !line.isEmpty(); line = requireLine(input)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return Optional.of(new Head(startLine, headers));
	}

	/**
	 * Reads the body that a head announces.
	 * @param input the connection
	 * @param head the head
	 * @return the body
	 * @throws IOException if the connection ends within the body or fails
	 */
	static byte[] readBody(InputStream input, Head head) throws IOException {
		if (!head.isChunked()) {
			int length = head.header("Content-Length").map(Integer::parseInt).orElse(0);
			return requireBytes(input, length);
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		for (byte[] chunk = readChunk(input); chunk.length > 0; chunk = readChunk(input)) {
			body.writeBytes(chunk);
		}
		return body.toByteArray();
	}

	/**
	 * Reads a chunk of a body.
	 * @param input the connection
	 * @return the chunk, empty for the last one
	 * @throws IOException if the connection ends within the body or fails
	 */
	static byte[] readChunk(InputStream input) throws IOException {
		int length = Integer.parseInt(requireLine(input).strip(), 16);
		byte[] chunk = requireBytes(input, length);
		requireLine(input);
		return chunk;
	}

	private static byte[] requireBytes(InputStream input, int length) throws IOException {
		byte[] bytes = input.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the connection ended within a body");
		}
		return bytes;
	}

	private static String requireLine(InputStream input) throws IOException {
		String line = readLine(input);
		if (line == null) {
			throw new EOFException("the connection ended within a message");
		}
		return line;
	}

	private static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended within a line");
			}
			line.write(next);
			if (line.size() > MAX_LINE_BYTES) {
				throw new IOException("a line is too long");
			}
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

}
