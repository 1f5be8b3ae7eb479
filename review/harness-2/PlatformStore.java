import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in for the metadata store of the platform: a log with topics, whose partition 0 is
 * served. Answers at once; it can be away, and come back from a copy.
 */
final class PlatformStore implements AutoCloseable {

	private static final int MAX_ITEMS = 500;

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private Map<String, List<byte[]>> copy = Map.of();

	private int era = 1;

	private boolean away;

	private final HttpServer server;

	PlatformStore() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext(Platform.name("newest"), this::sendNewest);
		this.server.createContext(Platform.name("read"), this::sendRecords);
		this.server.createContext(Platform.name("append"), this::append);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/**
	 * Writes a record of a keyed topic, unless the store is away.
	 * @param topic the topic
	 * @param key the key
	 * @param value the value, empty to drop the key
	 */
	synchronized void put(String topic, String key, String value) {
		if (this.away) {
			return;
		}
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		byte[] content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array();
		records(topic).add(content);
		notifyAll();
	}

	/**
	 * Copies what is stored now.
	 */
	synchronized void makeCopy() {
		this.copy = new HashMap<>();
		this.topics.forEach((topic, records) -> this.copy.put(topic, new ArrayList<>(records)));
	}

	/**
	 * Refuses all calls with 503 until the store is restored.
	 */
	synchronized void goAway() {
		this.away = true;
		notifyAll();
	}

	/**
	 * Comes back from the copy. What was written since is gone.
	 */
	synchronized void restore() {
		this.topics.clear();
		this.topics.putAll(this.copy);
		this.era++;
		this.away = false;
	}

	private synchronized boolean isAway() {
		return this.away;
	}

	private List<byte[]> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void append(HttpExchange exchange) throws IOException {
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		String topic = query(exchange).get("topic");
		if (topic.equals(Platform.name("routes")) || topic.equals(Platform.name("replicas"))) {
			send(exchange, 403, "{\"error\":\"not yours\"}".getBytes(StandardCharsets.UTF_8));
			return;
		}
		int first;
		int end;
		if (isAway()) {
			send(exchange, UNAVAILABLE, new byte[0]);
			return;
		}
		synchronized (this) {
			first = records(topic).size();
			while (body.hasRemaining()) {
				byte[] content = new byte[body.getInt()];
				body.get(content);
				records(topic).add(content);
			}
			end = records(topic).size();
			notifyAll();
		}
		send(exchange, OK,
				("{\"offset\":" + first + ",\"end_offset\":" + end + "}").getBytes(StandardCharsets.UTF_8));
	}

	private void sendRecords(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		int from = Integer.parseInt(query.get("from"));
		long deadlineNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			if (from > records.size()) {
				send(exchange, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
				return;
			}
			try {
				for (long leftNanos = deadlineNanos - System.nanoTime(); records.size() <= from && !this.away
						&& leftNanos > 0; leftNanos = deadlineNanos - System.nanoTime()) {
					wait(leftNanos / 1_000_000 + 1);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
			for (byte[] content : records.subList(Math.min(from, records.size()), records.size())) {
				body.writeBytes(ByteBuffer.allocate(4).putInt(content.length).array());
				body.writeBytes(content);
			}
		}
		send(exchange, OK, body.toByteArray());
	}

	private void sendNewest(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		String after = query.getOrDefault("after", "");
		List<String> items = new ArrayList<>();
		boolean truncated = false;
		int end;
		synchronized (this) {
			List<byte[]> records = records(query.get("topic"));
			end = records.size();
			Map<String, Integer> newest = new TreeMap<>();
			for (int offset = 0; offset < end; offset++) {
				newest.put(keyOf(records.get(offset)), offset);
			}
			for (Map.Entry<String, Integer> entry : newest.entrySet()) {
				byte[] content = records.get(entry.getValue());
				int valueStart = 1 + (content[0] & 0xff);
				if (valueStart == content.length || entry.getKey().compareTo(after) <= 0) {
					continue;
				}
				if (items.size() == MAX_ITEMS) {
					truncated = true;
					break;
				}
				byte[] value = new byte[content.length - valueStart];
				System.arraycopy(content, valueStart, value, 0, value.length);
				items.add("{\"key\":\"" + entry.getKey() + "\",\"value\":\""
						+ Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + entry.getValue() + "}");
			}
		}
		send(exchange, OK, ("{\"items\":[" + String.join(",", items) + "],\"truncated\":" + truncated
				+ ",\"end_offset\":" + end + "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	private static String keyOf(byte[] content) {
		return new String(content, 1, content[0] & 0xff, StandardCharsets.UTF_8);
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
			int equals = pair.indexOf('=');
			values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return values;
	}

	// A call that was answered while the store went away gets the refusal as well.
	private void send(HttpExchange exchange, int status, byte[] body) throws IOException {
		boolean isRefused = isAway();
		byte[] sent = isRefused ? new byte[0] : body;
		exchange.getResponseHeaders().set("Store-Era", Integer.toString(currentEra()));
		exchange.sendResponseHeaders(isRefused ? UNAVAILABLE : status, (sent.length == 0) ? -1 : sent.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(sent);
		}
	}

	private synchronized int currentEra() {
		return this.era;
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
