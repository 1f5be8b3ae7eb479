package org.mustardlane.router.target;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A target that answers each request with prepared bytes, one connection after the other.
 */
public final class FakeTarget implements AutoCloseable {

	private static final String HEAD_END = "\r\n\r\n";

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final Script script;

	public FakeTarget(Script script) throws IOException {
		this.script = script;
		Thread thread = new Thread(this::serve, "fake-target");
		thread.setDaemon(true);
		thread.start();
	}

	public int port() {
		return this.server.getLocalPort();
	}

	public List<String> requests() {
		return this.requests;
	}

	private void serve() {
		while (!this.server.isClosed()) {
			try (Socket socket = this.server.accept()) {
				serve(socket);
			}
			catch (IOException ex) {
				// The client or the test has closed the connection.
			}
		}
	}

	private void serve(Socket socket) throws IOException {
		boolean open = true;
		while (open) {
			String request = readRequest(socket.getInputStream());
			if (request.isEmpty()) {
				return;
			}
			this.requests.add(request);
			open = this.script.answer(this.requests.size(), request, socket.getOutputStream());
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		StringBuilder text = new StringBuilder();
		while (text.indexOf(HEAD_END) < 0) {
			int next = input.read();
			if (next < 0) {
				return "";
			}
			text.append((char) next);
		}
		String length = text.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1");
		if (length.matches("\\d+")) {
			text.append(new String(input.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1));
		}
		return text.toString();
	}

	public static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.ISO_8859_1));
		output.flush();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * Says what a fake target answers.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Answers a request.
		 * @param number number of the request, from 1
		 * @param request the request as it came
		 * @param output where the answer goes
		 * @return whether the connection stays open
		 * @throws IOException if the client has gone
		 */
		boolean answer(int number, String request, OutputStream output) throws IOException;

	}

}
