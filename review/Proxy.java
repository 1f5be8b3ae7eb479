import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy before a listener, whose open connections can go silent.
 */
final class Proxy implements AutoCloseable {

	private final Listener listener;

	private final int port;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	Proxy(int port) throws IOException {
		this.port = port;
		this.listener = new Listener(this::forward);
	}

	int port() {
		return this.listener.port();
	}

	/**
	 * Lets all connections that are open now go silent for good: they stay open, and no byte
	 * passes any more. New connections work.
	 */
	int silence() {
		int count = 0;
		for (Link link : this.links) {
			link.silent = true;
			count++;
		}
		return count;
	}

	private void forward(HttpExchange exchange) throws IOException {
		try (Socket server = new Socket("127.0.0.1", this.port)) {
			server.setTcpNoDelay(true);
			Link link = new Link();
			this.links.add(link);
			Thread answers = Case.start(() -> {
				copy(server, exchange.socket(), link);
				close(exchange.socket(), link);
			});
			copy(exchange.socket(), server, link);
			close(server, link);
			answers.join();
			this.links.remove(link);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void close(Socket socket, Link link) {
		try {
			if (!link.silent) {
				socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	private static void copy(Socket from, Socket to, Link link) {
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			byte[] bytes = new byte[65_536];
			for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
				if (!link.silent) {
					output.write(bytes, 0, count);
					output.flush();
				}
			}
		}
		catch (IOException ex) {
			// One side ended the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private static final class Link {

		private volatile boolean silent;

	}

}
