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

	private static final int READ_TIMEOUT_MILLIS = 60_000;

	private static final int STALL_CHECK_MILLIS = 300;

	@Test
	public void forwardsBytesInBothDirectionsAndCloses() throws IOException {
		try (ServerSocket server = listen(); Forwarder forwarder = forwarder(server)) {
			for (int round = 0; round < 100; round++) {
				try (Socket client = connect(forwarder)) {
					client.getOutputStream().write(new byte[] { 1, 2, 3 });
					try (Socket upstream = server.accept()) {
						assertEquals(upstream.getInputStream().readNBytes(3), new byte[] { 1, 2, 3 });
						upstream.getOutputStream().write(4);
						assertEquals(client.getInputStream().read(), 4);
					}
					assertEquals(client.getInputStream().read(), -1);
				}
			}
		}
	}

	@Test
	public void holdsBytesWhileSilentAndForwardsThemAfterwards() throws IOException {
		try (ServerSocket server = listen();
				Forwarder forwarder = forwarder(server);
				Socket client = connect(forwarder);
				Socket upstream = server.accept()) {
			client.getOutputStream().write(1);
			assertEquals(upstream.getInputStream().read(), 1);
			forwarder.setState(LinkState.SILENT);
			client.getOutputStream().write(2);
			upstream.setSoTimeout(STALL_CHECK_MILLIS);
			assertThrows(SocketTimeoutException.class, () -> upstream.getInputStream().read());
			forwarder.setState(LinkState.OPEN);
			upstream.setSoTimeout(READ_TIMEOUT_MILLIS);
			assertEquals(upstream.getInputStream().read(), 2);
		}
	}

	@Test
	public void resetsOnlyConnectionsFromTheGivenDomain() throws IOException {
		ConnectionSources connectionSources = new ConnectionSources();
		connectionSources.addProcess(ProcessHandle.current().pid(), "north");
		try (ServerSocket server = listen(); Forwarder forwarder = new Forwarder(connectionSources)) {
			forwarder.setTargetPort(server.getLocalPort());
			forwarder.setState("south", LinkState.RESET);
			try (Socket client = connect(forwarder); Socket upstream = server.accept()) {
				client.getOutputStream().write(1);
				assertEquals(upstream.getInputStream().read(), 1);
				forwarder.setState("north", LinkState.RESET);
				assertThrows(SocketException.class, () -> client.getInputStream().read());
			}
		}
	}

	private static Forwarder forwarder(ServerSocket server) {
		Forwarder forwarder = new Forwarder(new ConnectionSources());
		forwarder.setTargetPort(server.getLocalPort());
		return forwarder;
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
	}

	private static Socket connect(Forwarder forwarder) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), forwarder.port());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

}
