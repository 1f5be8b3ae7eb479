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
 * A target that responds to each request with bytes that the test has prepared. Serves
 * one connection at a time.
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
		boolean keepOpen = true;
		while (keepOpen) {
			String request = readRequest(socket.getInputStream());
			if (request.isEmpty()) {
				return;
			}
			this.requests.add(request);
			keepOpen = this.script.respond(this.requests.size(), request, socket.getOutputStream());
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		StringBuilder request = new StringBuilder();
		while (request.indexOf(HEAD_END) < 0) {
			int nextByte = input.read();
			if (nextByte < 0) {
				return "";
			}
			request.append((char) nextByte);
		}
		String contentLength = request.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1");
		if (contentLength.matches("\\d+")) {
			request.append(new String(input.readNBytes(Integer.parseInt(contentLength)), StandardCharsets.ISO_8859_1));
		}
		return request.toString();
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
	 * Writes the responses of a fake target.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Responds to a request.
		 * @param number number of the request, from 1
		 * @param request head and body of the request as received
		 * @param output stream for the response
		 * @return whether the connection stays open
		 * @throws IOException if the client has closed the connection
		 */
		boolean respond(int number, String request, OutputStream output) throws IOException;

	}

}
