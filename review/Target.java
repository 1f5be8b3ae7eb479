import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server of a service: registers itself in the store, runs requests and says which.
 */
final class Target implements AutoCloseable {

	private final Case current;

	private final String id;

	private final String service;

	private final String zone;

	private final Work work;

	private final List<Run> runs = new CopyOnWriteArrayList<>();

	private final int port;

	private volatile Listener listener;

	private long sequence;

	/** Starts a server that answers each request with its own id. */
	Target(Case current, String id, String service, String zone) throws IOException {
		this(current, id, service, zone, (request, exchange) -> exchange.writeSuccess(request, id, id));
	}

	Target(Case current, String id, String service, String zone, Work work) throws IOException {
		this.current = current;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.work = work;
		this.listener = new Listener(this::serve);
		this.port = this.listener.port();
		current.closeAtEnd(this);
	}

	String id() {
		return this.id;
	}

	int port() {
		return this.port;
	}

	List<Run> runs() {
		return this.runs;
	}

	/** The server's record in the store. */
	synchronized String entry(int callerPort, String state) {
		this.sequence++;
		return "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + callerPort + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state + "\",\"" + Names.COLD_FIELD + "\":0,\"seq\":"
				+ this.sequence + ",\"born\":1700000000000}";
	}

	private void serve(HttpExchange exchange) throws IOException {
		while (true) {
			HttpMessage head = exchange.readHead();
			if (this.listener.isDark()) {
				Case.sleep(60_000);
				return;
			}
			String expected = head.header(Names.EXPECTED_INSTANCE);
			if (!expected.isEmpty() && !expected.equals(this.id)) {
				exchange.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this.id + "\r\nX-Request-Id: "
						+ head.header("X-Request-Id") + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
				return;
			}
			String length = head.header("Content-Length");
			Run run = new Run(head.header("X-Request-Id"), head.startLine(), this.current.now());
			this.runs.add(run);
			if (this.work instanceof EarlyWork early) {
				early.answerEarly(head, exchange);
				return;
			}
			byte[] body = length.isEmpty() ? new byte[0] : exchange.readBytes(Integer.parseInt(length));
			this.current.note("target " + this.id + " runs " + run.requestId() + " (" + run.requestLine() + ", "
					+ body.length + " bytes)");
			this.work.run(new HttpMessage(head.head(), body), exchange);
		}
	}

	/** Ends like a process that crashes: all connections are reset, new ones are refused. */
	void crash() throws IOException {
		this.listener.close();
		this.current.note("target " + this.id + " crashes");
	}

	/** Goes dark: no connection gets a byte any more, and new ones hang. */
	void goDark() throws IOException {
		this.listener.goDark();
		this.current.note("target " + this.id + " goes dark");
	}

	/** Starts again at the same address. */
	void restart() throws IOException {
		this.listener = new Listener(this::serve, this.port);
		this.current.note("target " + this.id + " is back");
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	/** What a server does with a request. */
	@FunctionalInterface
	interface Work {

		void run(HttpMessage request, HttpExchange exchange) throws IOException;

	}

	/** Work that starts to answer before the body has been read. */
	@FunctionalInterface
	interface EarlyWork extends Work {

		void answerEarly(HttpMessage head, HttpExchange exchange) throws IOException;

		@Override
		default void run(HttpMessage request, HttpExchange exchange) throws IOException {
			answerEarly(request, exchange);
		}

	}

	/** One request that the server began to run. */
	record Run(String requestId, String requestLine, long atMillis) {

	}

}
