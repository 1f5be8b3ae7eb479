import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of three routers freezes for a moment while requests of kept connections are in progress.
 */
public final class FrozenPipeline {

	private static final int CONNECTIONS = 8;

	private static final int ROUNDS = 2;

	private static final int WORK_MILLIS = 1000;

	public static void main(String[] arguments) {
		Case.run(arguments, FrozenPipeline::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		Map<String, String> bodies = new ConcurrentHashMap<>();
		Target target = new Target(current, "i-1", "svc", "zone-a", (request, exchange) -> {
			bodies.put(request.header("X-Request-Id"), new String(request.body(), StandardCharsets.ISO_8859_1));
			Case.sleep(WORK_MILLIS);
			exchange.writeSuccess(request, "i-1", "answer to " + request.header("X-Request-Id") + " with "
					+ request.body().length + " bytes");
		});
		store.put(Names.CONFIG_TOPIC, "config", new Configuration(1).route("/job/", "idempotent", "svc", 5000, 2000, 2).service("svc").toString());
		store.put(Names.SERVERS_TOPIC, target.id(), target.entry(target.port(), "ready"));
		Router router = Router.start(current, store.port(), "zone-a", "zone-b", "zone-c").get(0);
		Case.sleep(4000);
		int wrong = 0;
		for (int round = 0; round < ROUNDS; round++) {
			wrong += playRound(current, router, round);
			Case.sleep(3500);
		}
		int changed = playBodies(current, router, bodies);
		current.note("answers that belong to another request: " + wrong + "; requests that ran with a changed body: " + changed);
		return (wrong > 0 || changed > 0) ? Case.BROKEN : Case.HELD;
	}

	private static List<HttpExchange> connect(Router router) throws IOException {
		List<HttpExchange> connections = new ArrayList<>();
		for (int index = 0; index < CONNECTIONS; index++) {
			Socket socket = new Socket("127.0.0.1", router.port());
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(8000);
			connections.add(new HttpExchange(socket));
		}
		return connections;
	}

	/** The second request has a body in chunks, of which the second one comes during the freeze. */
	private static int playBodies(Case current, Router router, Map<String, String> bodies) throws Exception {
		List<HttpExchange> connections = connect(router);
		sendAll(current, connections, ROUNDS, 1);
		Case.sleep(100);
		for (int index = 0; index < CONNECTIONS; index++) {
			String id = requestId(ROUNDS, index, 2);
			current.note("client sends " + id + " with the first chunk of its body");
			connections.get(index).write(Client.head("POST", "/job/" + id, id, 8000, 0, "Transfer-Encoding: chunked\r\n")
					+ "6\r\nfirst,\r\n");
		}
		Case.sleep(100);
		freeze(current, router, () -> {
			for (HttpExchange connection : connections) {
				connection.write("7\r\nsecond,\r\n");
			}
		});
		Case.sleep(300);
		int changed = 0;
		for (int index = 0; index < CONNECTIONS; index++) {
			connections.get(index).write("5\r\nthird\r\n0\r\n\r\n");
		}
		for (int index = 0; index < CONNECTIONS; index++) {
			readAll(current, connections.get(index), ROUNDS, index, 2);
			String id = requestId(ROUNDS, index, 2);
			String body = bodies.get(id);
			boolean isChanged = body != null && !body.equals("first,second,third");
			changed += isChanged ? 1 : 0;
			current.note("client sent " + id + " with the body 'first,second,third', the server ran it with '" + body + "'"
					+ (isChanged ? " CHANGED" : ""));
		}
		return changed;
	}

	private static void freeze(Case current, Router router, Sending sentMeanwhile) throws Exception {
		if (current.isTroubled()) {
			router.signal("STOP");
		}
		// The servers answer the first requests now.
		Case.sleep(WORK_MILLIS + 100);
		sentMeanwhile.send();
		Case.sleep(300);
		if (current.isTroubled()) {
			router.signal("CONT");
		}
	}

	private static int playRound(Case current, Router router, int round) throws Exception {
		List<HttpExchange> connections = connect(router);
		sendAll(current, connections, round, 1);
		Case.sleep(100);
		sendAll(current, connections, round, 2);
		Case.sleep(100);
		freeze(current, router, () -> sendAll(current, connections, round, 3));
		int wrong = 0;
		for (int index = 0; index < CONNECTIONS; index++) {
			wrong += readAll(current, connections.get(index), round, index, 3);
		}
		return wrong;
	}

	private static String requestId(int round, int connection, int number) {
		return "r" + round + "-c" + connection + "-" + number;
	}

	private static void sendAll(Case current, List<HttpExchange> connections, int round, int number) throws IOException {
		for (int index = 0; index < connections.size(); index++) {
			String id = requestId(round, index, number);
			current.note("client sends " + id);
			connections.get(index).write(Client.head("GET", "/job/" + id, id, 5000, 0, "").getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private static int readAll(Case current, HttpExchange connection, int round, int index, int count) throws IOException {
		int wrong = 0;
		try {
			for (int number = 1; number <= count; number++) {
				String expected = requestId(round, index, number);
				HttpMessage answer = connection.read();
				boolean isWrong = answer.status() == 200 && !answer.header("X-Request-Id").equals(expected);
				wrong += isWrong ? 1 : 0;
				current.note("client awaits the answer to " + expected + ", gets status " + answer.status() + " for "
						+ answer.header("X-Request-Id") + " '" + new String(answer.body(), StandardCharsets.ISO_8859_1)
						+ "'" + (isWrong ? " WRONG" : ""));
			}
		}
		catch (IOException ex) {
			current.note("client on connection " + index + ": " + ex);
		}
		connection.socket().close();
		return wrong;
	}

	/** What the clients send. */
	private interface Sending {

		void send() throws IOException;

	}

}
