import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A listening socket on loopback with a thread for each connection.
 */
final class Listener implements AutoCloseable {

	/** Few, so that goDark() can fill the queue of new connections. */
	private static final int BACKLOG = 8;

	private final ServerSocket socket;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final Set<Socket> fillers = ConcurrentHashMap.newKeySet();

	private volatile boolean dark;

	Listener(Handler handler) throws IOException {
		this(handler, 0);
	}

	Listener(Handler handler, int port) throws IOException {
		this.handler = handler;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.setReceiveBufferSize(16_384);
		this.socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG);
		Case.start(this::accept);
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				if (this.dark) {
					this.fillers.add(connection);
					fillQueue();
					return;
				}
				connection.setTcpNoDelay(true);
				this.open.add(connection);
				Case.start(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			this.handler.serve(new HttpExchange(connection));
		}
		catch (IOException ex) {
			// The other side ended the connection.
		}
		finally {
			this.open.remove(connection);
		}
	}

	/**
	 * Stops to answer without a word, like a machine without power: open connections stay silent
	 * and new ones hang, since the queue of new connections is full.
	 */
	void goDark() throws IOException {
		this.dark = true;
		// Ends the wait for the next connection.
		this.fillers.add(new Socket(InetAddress.getByName("127.0.0.1"), port()));
	}

	private void fillQueue() {
		for (int count = 0; count < BACKLOG + 4; count++) {
			Socket filler = new Socket();
			this.fillers.add(filler);
			Case.start(() -> {
				try {
					filler.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port()), 5000);
				}
				catch (IOException ex) {
					// The queue is full, as intended.
				}
			});
		}
	}

	boolean isDark() {
		return this.dark;
	}

	int port() {
		return this.socket.getLocalPort();
	}

	/** Stops listening and resets all connections, as a process that crashes does. */
	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket filler : this.fillers) {
			filler.close();
		}
		for (Socket connection : this.open) {
			if (!connection.isClosed()) {
				connection.setSoLinger(true, 0);
				connection.close();
			}
		}
	}

	/** Serves one connection. */
	interface Handler {

		void serve(HttpExchange exchange) throws IOException;

	}

}
