import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a replica: registers in the platform's store, writes there at each
 * heartbeat and serves one request at a time on a connection.
 */
final class Replica implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 1200;

	private final String id;

	private final String service;

	private final PlatformStore store;

	private final Worker worker;

	private final Record record;

	private final int port;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private volatile Life life;

	/**
	 * Creates a replica that is down.
	 * @param id id of the replica, which it keeps over its starts
	 * @param service service that it belongs to
	 * @param store the platform's store
	 * @param worker answers the requests
	 * @param record the record of the case
	 * @throws IOException if no port is free
	 */
	Replica(String id, String service, PlatformStore store, Worker worker, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.store = store;
		this.worker = worker;
		this.record = record;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.port = socket.getLocalPort();
		}
	}

	String id() {
		return this.id;
	}

	/**
	 * Starts the replica: it is in the store before it accepts the first connection.
	 * @param version version of its software
	 * @throws IOException if it cannot listen
	 */
	void start(String version) throws IOException {
		Life started = new Life(version);
		started.writeEntry();
		started.listen();
		this.life = started;
		this.record.write("replica " + this.id + " starts with version " + version);
	}

	/**
	 * Reports a state to the store now and with each heartbeat from now on.
	 * @param state ready or draining
	 */
	void report(String state) {
		this.life.report(state);
		this.record.write("replica " + this.id + " reports " + state);
	}

	/**
	 * Lets the store carry out the next heartbeat late, as one whose answer is lost.
	 * @param millis how late
	 * @throws InterruptedException if interrupted before that heartbeat
	 */
	void delayNextHeartbeat(long millis) throws InterruptedException {
		this.life.delayNextHeartbeat(millis);
	}

	/**
	 * Ends the replica at once. It says nothing more to the store, and its connections end.
	 */
	void crash() {
		this.life.end();
		this.record.write("replica " + this.id + " of version " + this.life.version + " crashes");
	}

	@Override
	public void close() {
		if (this.life != null) {
			this.life.end();
		}
	}

	/**
	 * Answers the requests to a replica.
	 */
	interface Worker {

		/**
		 * Answers a request.
		 * @param request head of the request
		 * @param replica id of the replica
		 * @param version version of its software
		 * @param output the connection
		 * @throws IOException if the connection ends
		 * @throws InterruptedException if the replica ends
		 */
		void answer(Messages.Head request, String replica, String version, OutputStream output)
				throws IOException, InterruptedException;

	}

	/**
	 * One incarnation of the replica.
	 */
	private final class Life {

		private final String version;

		private final long bornMillis = System.currentTimeMillis();

		private ServerSocket serverSocket;

		private int sequence;

		private String state = "ready";

		private long delayMillis;

		private volatile boolean ended;

		Life(String version) {
			this.version = version;
		}

		synchronized void report(String nextState) {
			this.state = nextState;
			writeEntry();
		}

		synchronized void delayNextHeartbeat(long millis) throws InterruptedException {
			this.delayMillis = millis;
			while (this.delayMillis > 0) {
				wait();
			}
		}

		synchronized void writeEntry() {
			if (this.ended) {
				return;
			}
			this.sequence++;
			String entry = Platform.read("replica.json").formatted(Replica.this.service,
							Replica.this.port, this.version, this.state, this.sequence, this.bornMillis);
			if (this.delayMillis == 0) {
				Replica.this.store.put(Platform.name("replicas"), Replica.this.id, entry);
				return;
			}
			long lateMillis = this.delayMillis;
			int lateSequence = this.sequence;
			this.delayMillis = 0;
			notifyAll();
			Replica.this.record.write("the store loses the answer to heartbeat " + lateSequence + " of " + Replica.this.id);
			startThread(() -> putLate(entry, lateSequence, lateMillis));
		}

		private void putLate(String entry, int lateSequence, long lateMillis) {
			try {
				Thread.sleep(lateMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			Replica.this.store.put(Platform.name("replicas"), Replica.this.id, entry);
			Replica.this.record.write("the store carries out heartbeat " + lateSequence + " of " + Replica.this.id
					+ ", " + lateMillis + " ms late");
		}

		void listen() throws IOException {
			this.serverSocket = new ServerSocket();
			this.serverSocket.setReuseAddress(true);
			this.serverSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Replica.this.port), 256);
			startThread(this::accept);
			startThread(this::beat);
		}

		private void beat() {
			try {
				while (!this.ended) {
					Thread.sleep(HEARTBEAT_MILLIS);
					writeEntry();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private void accept() {
			try {
				while (!this.ended) {
					Socket connection = this.serverSocket.accept();
					connection.setTcpNoDelay(true);
					Replica.this.connections.add(connection);
					startThread(() -> serve(connection));
				}
			}
			catch (IOException ex) {
				// The replica has ended.
			}
		}

		private void serve(Socket connection) {
			try (connection) {
				InputStream input = new BufferedInputStream(connection.getInputStream());
				OutputStream output = connection.getOutputStream();
				for (Optional<Messages.Head> head = Messages.readHead(input); head.isPresent(); head = Messages
					.readHead(input)) {
					Messages.readBody(input, head.get());
					answer(head.get(), output);
				}
			}
			catch (IOException ex) {
				// The router has closed the connection, or the replica has ended.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				Replica.this.connections.remove(connection);
			}
		}

		private void answer(Messages.Head request, OutputStream output) throws IOException, InterruptedException {
			String requestId = request.header("X-Request-Id").orElse("");
			if (request.header(Platform.name("expected")).filter((expected) -> !expected.equals(Replica.this.id)).isPresent()) {
				output.write(("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + requestId + "\r\nX-Instance-Id: "
						+ Replica.this.id + "\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				return;
			}
			Replica.this.record.write("replica " + Replica.this.id + " of version " + this.version + " runs " + requestId
					+ request.header("Last-Event-Id").map((event) -> " after event " + event).orElse(""));
			Replica.this.worker.answer(request, Replica.this.id, this.version, output);
		}

		synchronized void end() {
			this.ended = true;
			closeQuietly(this.serverSocket);
			Replica.this.connections.forEach(Replica::closeQuietly);
		}

	}

	private static void closeQuietly(AutoCloseable closeable) {
		try {
			closeable.close();
		}
		catch (Exception ex) {
			// It has ended already.
		}
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "replica");
		thread.setDaemon(true);
		thread.start();
	}

}
