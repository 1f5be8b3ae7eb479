import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Stand-in for a client of a resumable stream. Takes the stream up again at another router
 * if it breaks off.
 */
final class StreamCaller {

	private static final int MAX_TRIES = 3;

	private static final int TIMEOUT_MILLIS = 15_000;

	private static final int RETRY_MILLIS = 200;

	private final String name;

	private final Record record;

	private final Set<String> versions = new LinkedHashSet<>();

	private Optional<String> firstRequestId = Optional.empty();

	private int lastEvent;

	private boolean complete;

	private boolean takenUp;

	private int lastEventBeforeTakeUp;

	private boolean wentOn;

	StreamCaller(String name, Record record) {
		this.name = name;
		this.record = record;
	}

	/**
	 * Receives the stream.
	 * @param ports ports of the routers in the order in which they are tried
	 */
	void run(int... ports) {
		for (int attempt = 0; attempt < MAX_TRIES && !this.complete; attempt++) {
			String requestId = this.name + "-" + attempt;
			try {
				receive(requestId, ports[attempt % ports.length]);
			}
			catch (IOException ex) {
				this.record.write("stream " + this.name + " breaks off after event " + this.lastEvent + " (" + requestId
						+ "): " + ex.getMessage());
				pause();
			}
		}
		this.record.write("stream " + this.name + " ends after event " + this.lastEvent + ", complete " + this.complete
				+ ", events of versions " + this.versions);
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void receive(String requestId, int port) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			String resumption = this.firstRequestId
				.map((first) -> "Last-Event-Id: " + this.lastEvent + "\r\nResumes: " + first + "\r\n")
				.orElse("");
			String body = "prompt of " + this.name;
			socket.getOutputStream()
				.write(("POST /chat/" + this.name + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + requestId
						+ "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS
						+ "\r\nX-Api-Key: key-1\r\nX-Model: m\r\n" + Platform.name("tokens") + ": 700,800\r\n"
						+ Platform.name("prompt") + ": "
						+ Integer.toHexString(this.name.hashCode()) + ":600,"
						+ Integer.toHexString(requestId.hashCode()) + ":100\r\nConnection: close\r\n" + resumption
						+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			InputStream input = new BufferedInputStream(socket.getInputStream());
			if (this.firstRequestId.isPresent() && !this.takenUp) {
				this.takenUp = true;
				this.lastEventBeforeTakeUp = this.lastEvent;
			}
			Messages.Head head = Messages.readHead(input).orElseThrow(() -> new IOException("no answer"));
			if (head.status() != 200) {
				throw new IOException("status " + head.status());
			}
			boolean isTakenUp = this.firstRequestId.isPresent();
			for (byte[] chunk = Messages.readChunk(input); chunk.length > 0; chunk = Messages.readChunk(input)) {
				this.wentOn |= isTakenUp;
				readEvents(new String(chunk, StandardCharsets.US_ASCII), requestId);
			}
			this.complete = true;
		}
	}

	// The router sends whole events only.
	private void readEvents(String events, String requestId) {
		for (String event : events.split("\n\n")) {
			String[] lines = event.split("\n");
			this.lastEvent = Integer.parseInt(lines[0].substring("id: ".length()));
			String version = lines[1].substring("data: ".length()).split(" ")[0];
			if (this.versions.add(version)) {
				this.record.write("stream " + this.name + " gets event " + this.lastEvent + " of version " + version
						+ " (" + requestId + ")");
			}
			if (this.firstRequestId.isEmpty()) {
				this.firstRequestId = Optional.of(requestId);
			}
		}
	}

	/**
	 * Returns whether any event has arrived.
	 * @return true if the stream has begun
	 */
	boolean hasBegun() {
		return this.firstRequestId.isPresent();
	}

	/**
	 * Returns whether a router has read the request that takes the stream up again.
	 * @return true if the stream was taken up
	 */
	boolean isTakenUp() {
		return this.takenUp;
	}

	/**
	 * Returns the last event that had arrived when the stream was taken up first.
	 * @return id of the event
	 */
	int lastEventBeforeTakeUp() {
		return this.lastEventBeforeTakeUp;
	}

	/**
	 * Returns whether the stream has gone on after it was taken up.
	 * @return true if an event has arrived since
	 */
	boolean hasGoneOn() {
		return this.wentOn;
	}

	boolean isMixed() {
		return this.versions.size() > 1;
	}

	boolean isComplete() {
		return this.complete;
	}

}
