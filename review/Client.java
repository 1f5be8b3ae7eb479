import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client of the routers.
 */
final class Client {

	static final String HOST = "svc.example";

	static final String KEY = "k1abcdefghijklmnopqr";

	private Client() {
	}

	/** A request without its body. */
	static String head(String method, String path, String requestId, int deadlineMillis, int bodyBytes, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId + "\r\nX-Deadline-Ms: "
				+ deadlineMillis + "\r\nX-Api-Key: " + KEY + "\r\n"
				+ ((bodyBytes > 0) ? "Content-Length: " + bodyBytes + "\r\n" : "") + more + "\r\n";
	}

	/** Sends one request on a new connection and returns the answer, or how it failed. */
	static Answer send(int port, String head, byte[] body, int deadlineMillis) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(deadlineMillis + 500);
			HttpExchange exchange = new HttpExchange(socket);
			exchange.write(head.getBytes(StandardCharsets.ISO_8859_1));
			if (body.length > 0) {
				exchange.write(body);
			}
			HttpMessage answer = exchange.read();
			return new Answer(answer.status(), answer.header("X-Request-Id"), answer.header(Names.SEAL),
					answer.header("Retry-After"), answer.body(), "");
		}
		catch (IOException ex) {
			return new Answer(0, "", "", "", new byte[0], ex.toString());
		}
	}

	/** An answer; status 0 stands for none. */
	record Answer(int status, String requestId, String seal, String retryAfter, byte[] body, String failure) {

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

		String brief() {
			return (this.status == 0) ? this.failure
					: this.status + ((this.body.length < 60) ? " '" + text().strip() + "'" : " " + this.body.length + " bytes");
		}

	}

}
