package org.mustardlane.router.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Caller that sends and receives raw bytes.
 */
public final class RawCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private static final String HEAD_END = "\r\n\r\n";

	private final Socket socket = new Socket();

	public RawCaller(int port) throws IOException {
		this.socket.setReceiveBufferSize(4096);
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.socket.connect(new InetSocketAddress("127.0.0.1", port));
	}

	public static String post(String body, String... headers) {
		return request("1.1", "Content-Length: " + body.length(), headers) + body;
	}

	public static String request(String version, String lengthHeader, String... headers) {
		StringBuilder text = new StringBuilder("POST /v1/chat HTTP/" + version + "\r\nHost: router\r\n");
		text.append("X-Organisation: harrow\r\nX-Organisation-Key: secret\r\n").append(lengthHeader).append("\r\n");
		for (String header : headers) {
			text.append(header).append("\r\n");
		}
		return text.append("\r\n").toString();
	}

	public RawCaller send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		return this;
	}

	public RawCaller shutdownOutput() throws IOException {
		this.socket.shutdownOutput();
		return this;
	}

	/**
	 * Reads one response head.
	 * @return the head, or the bytes that arrived before the connection was closed
	 * @throws IOException if no byte arrives within the timeout
	 */
	public String readHead() throws IOException {
		return readUntil(HEAD_END);
	}

	public String readUntil(String delimiter) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream input = this.socket.getInputStream();
		while (text.indexOf(delimiter) < 0) {
			int nextByte = input.read();
			if (nextByte < 0) {
				return text.toString();
			}
			text.append((char) nextByte);
		}
		return text.toString();
	}

	public String readToEnd() throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		this.socket.getInputStream().transferTo(bytes);
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
