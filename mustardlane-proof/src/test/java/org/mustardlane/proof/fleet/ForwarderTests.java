package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests of {@link Forwarder}.
 */
public class ForwarderTests {

	private static final int PATIENCE_MILLIS = 60_000;

	private static final int SILENCE_MILLIS = 300;

	@Test
	public void passesBytesInOrderFromTheFirstOn() throws IOException {
		try (ServerSocket server = listen(); Forwarder forwarder = forwarder(server)) {
			for (int round = 0; round < 100; round++) {
				try (Socket near = connect(forwarder)) {
					near.getOutputStream().write(new byte[] { 1, 2, 3 });
					try (Socket far = server.accept()) {
						assertEquals(far.getInputStream().readNBytes(3), new byte[] { 1, 2, 3 });
						far.getOutputStream().write(4);
						assertEquals(near.getInputStream().read(), 4);
					}
					assertEquals(near.getInputStream().read(), -1);
				}
			}
		}
	}

	@Test
	public void holdsBytesBackWhileSilentAndPassesThemAfterwards() throws IOException {
		try (ServerSocket server = listen();
				Forwarder forwarder = forwarder(server);
				Socket near = connect(forwarder);
				Socket far = server.accept()) {
			near.getOutputStream().write(1);
			assertEquals(far.getInputStream().read(), 1);
			forwarder.set(LinkState.SILENT);
			near.getOutputStream().write(2);
			far.setSoTimeout(SILENCE_MILLIS);
			assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
			forwarder.set(LinkState.OPEN);
			far.setSoTimeout(PATIENCE_MILLIS);
			assertEquals(far.getInputStream().read(), 2);
		}
	}

	@Test
	public void cutsOnlyTheSourceThatIsNamed() throws IOException {
		ConnectionSources sources = new ConnectionSources();
		sources.add(ProcessHandle.current().pid(), "north");
		try (ServerSocket server = listen(); Forwarder forwarder = new Forwarder(sources)) {
			forwarder.connectTo(server.getLocalPort());
			forwarder.set("south", LinkState.RESET);
			try (Socket near = connect(forwarder); Socket far = server.accept()) {
				near.getOutputStream().write(1);
				assertEquals(far.getInputStream().read(), 1);
				forwarder.set("north", LinkState.RESET);
				assertThrows(SocketException.class, () -> near.getInputStream().read());
			}
		}
	}

	private static Forwarder forwarder(ServerSocket server) {
		Forwarder forwarder = new Forwarder(new ConnectionSources());
		forwarder.connectTo(server.getLocalPort());
		return forwarder;
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
	}

	private static Socket connect(Forwarder forwarder) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), forwarder.port());
		socket.setSoTimeout(PATIENCE_MILLIS);
		return socket;
	}

}
