import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's store: topics of one partition, reads that wait, newest records by key.
 */
final class Store implements AutoCloseable {

	private final Case current;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final Map<String, String> beats = new HashMap<>();

	private final Listener listener;

	Store(Case current) throws IOException {
		this.current = current;
		this.listener = new Listener(this::serve);
	}

	int port() {
		return this.listener.port();
	}

	/** Writes a record; the return is the acknowledgement. An empty value removes the key. */
	synchronized long put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer encoded = ByteBuffer.allocate(5 + keyBytes.length + valueBytes.length);
		encoded.putInt(1 + keyBytes.length + valueBytes.length).put((byte) keyBytes.length).put(keyBytes);
		encoded.put(valueBytes);
		recordsOf(topic).add(encoded.array());
		this.beats.put(key, withoutCount(value));
		notifyAll();
		this.current.note("store acknowledges " + topic + "/" + key + " = " + (value.isEmpty() ? "(removed)" : value));
		return this.current.now();
	}

	/**
	 * Takes a beat of a server: the record is written anew only if more than its count has changed.
	 */
	synchronized void beat(String key, String value) {
		String newest = this.beats.get(key);
		if (!withoutCount(value).equals(newest)) {
			put(Names.SERVERS_TOPIC, key, value);
		}
	}

	private static String withoutCount(String entry) {
		return entry.replaceAll("\"seq\":\\d+", "");
	}

	private List<byte[]> recordsOf(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void serve(HttpExchange exchange) throws IOException {
		while (true) {
			HttpMessage request = exchange.read();
			Map<String, String> query = new HashMap<>();
			String target = request.target();
			for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
				query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
			}
			byte[] body;
			if (target.startsWith(Names.NEWEST_CALL)) {
				body = newest(query.get("topic"));
			}
			else if (target.startsWith("/log-read")) {
				body = read(query);
			}
			else {
				body = append(query.get("topic"), request.body());
			}
			exchange.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			exchange.write(body);
		}
	}

	private synchronized byte[] newest(String topic) {
		Map<String, String> items = new LinkedHashMap<>();
		List<byte[]> records = recordsOf(topic);
		for (int offset = 0; offset < records.size(); offset++) {
			ByteBuffer encoded = ByteBuffer.wrap(records.get(offset));
			encoded.getInt();
			byte[] key = new byte[encoded.get() & 0xff];
			encoded.get(key);
			byte[] value = new byte[encoded.remaining()];
			encoded.get(value);
			String name = new String(key, StandardCharsets.UTF_8);
			items.remove(name);
			if (value.length > 0) {
				items.put(name, "{\"key\":\"" + name + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + offset + "}");
			}
		}
		return ("{\"items\":[" + String.join(",", items.values()) + "],\"truncated\":false,\"end_offset\":"
				+ records.size() + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private synchronized byte[] read(Map<String, String> query) throws IOException {
		int from = Integer.parseInt(query.get("from"));
		long endMillis = this.current.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
		List<byte[]> records = recordsOf(query.get("topic"));
		while (records.size() <= from && this.current.now() < endMillis) {
			try {
				wait(Math.max(1, endMillis - this.current.now()));
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream output = new DataOutputStream(bytes);
		output.writeLong(records.size());
		output.writeLong(0);
		for (byte[] encoded : records.subList(Math.min(from, records.size()), records.size())) {
			output.write(encoded);
		}
		return bytes.toByteArray();
	}

	private synchronized byte[] append(String topic, byte[] body) {
		List<byte[]> records = recordsOf(topic);
		int first = records.size();
		ByteBuffer bytes = ByteBuffer.wrap(body);
		while (bytes.hasRemaining()) {
			int length = bytes.getInt();
			byte[] encoded = new byte[4 + length];
			ByteBuffer.wrap(encoded).putInt(length);
			bytes.get(encoded, 4, length);
			records.add(encoded);
		}
		notifyAll();
		return ("{\"offset\":" + first + ",\"end_offset\":" + records.size() + "}").getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
