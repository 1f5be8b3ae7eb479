package org.mustardlane.router.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A platform that answers each call with what the test has prepared.
 */
public final class FakePlatform implements AutoCloseable {

	private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);

	private final List<String> calls = new CopyOnWriteArrayList<>();

	private final Script script;

	public FakePlatform(Script script) throws IOException {
		this.script = script;
		this.server.createContext("/", this::serve);
		this.server.start();
	}

	public String url() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	List<String> calls() {
		return this.calls;
	}

	private void serve(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String call = exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body;
		this.calls.add(call);
		Answer answer = this.script.answer(this.calls.size(), call);
		if (answer.status() > 0) {
			byte[] bytes = answer.json().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("ETag", "\"7\"");
			exchange.sendResponseHeaders(answer.status(), (bytes.length > 0) ? bytes.length : -1);
			exchange.getResponseBody().write(bytes);
		}
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	/**
	 * Says what the platform answers.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Answers a call.
		 * @param number number of the call, from 1
		 * @param call method, address and body
		 * @return the answer
		 */
		Answer answer(int number, String call);

	}

	/**
	 * An answer.
	 *
	 * @param status HTTP status, 0 to close the connection without one
	 * @param json the body
	 */
	public record Answer(int status, String json) {

	}

}
