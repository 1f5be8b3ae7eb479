package org.mustardlane.router.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A platform that responds to each request as the test has prepared.
 */
public final class FakePlatform implements AutoCloseable {

	private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final Script script;

	public FakePlatform(Script script) throws IOException {
		this.script = script;
		this.server.createContext("/", this::serve);
		this.server.start();
	}

	public String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	List<String> requests() {
		return this.requests;
	}

	private void serve(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String request = exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body;
		this.requests.add(request);
		PreparedResponse response = this.script.respond(this.requests.size(), request);
		if (response.status() > 0) {
			byte[] bytes = response.json().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("ETag", "\"7\"");
			exchange.sendResponseHeaders(response.status(), (bytes.length > 0) ? bytes.length : -1);
			exchange.getResponseBody().write(bytes);
		}
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	/**
	 * Supplies the responses of the platform.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Responds to a request.
		 * @param number number of the request, from 1
		 * @param request method, URI and body of the request
		 * @return the response
		 */
		PreparedResponse respond(int number, String request);

	}

	/**
	 * A response that the test has prepared.
	 *
	 * @param status HTTP status, 0 to close the connection without a response
	 * @param json body of the response
	 */
	public record PreparedResponse(int status, String json) {

	}

}
