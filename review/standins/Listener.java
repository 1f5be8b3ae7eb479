import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A listening socket on loopback with a thread for each connection.
 */
final class Listener implements AutoCloseable {

	private final ServerSocket socket;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Listener(Handler handler) throws IOException {
		this(handler, 0);
	}

	Listener(Handler handler, int port) throws IOException {
		this.handler = handler;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.setReceiveBufferSize(16_384);
		this.socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
		Case.start(this::accept);
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
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

	int port() {
		return this.socket.getLocalPort();
	}

	/** Stops listening and resets all connections, as a process that crashes does. */
	@Override
	public void close() throws IOException {
		this.socket.close();
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
