package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Determines the failure domain that a local TCP connection comes from. Looks up the
 * process that owns the remote socket in {@code /proc}. Thread-safe.
 */
final class ConnectionSources {

	/**
	 * The domain reported for connections of unregistered processes.
	 */
	static final String UNKNOWN = "";

	private static final List<Path> TCP_TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

	private static final int LOCAL_COLUMN = 1;

	private static final int REMOTE_COLUMN = 2;

	private static final int INODE_COLUMN = 9;

	private final Map<Long, String> domainsByPid = new ConcurrentHashMap<>();

	/**
	 * Registers the failure domain of a process.
	 * @param pid the process id
	 * @param domain the failure domain of the process
	 */
	void addProcess(long pid, String domain) {
		this.domainsByPid.put(pid, domain);
	}

	/**
	 * Returns the failure domain of the process at the remote end of a connection.
	 * @param acceptedPort port of the accepted end of the connection
	 * @param remotePort port of the remote end of the connection
	 * @return the failure domain, or {@link #UNKNOWN}
	 */
	String domainOf(int acceptedPort, int remotePort) {
		Optional<String> socket = findSocketInode(remotePort, acceptedPort).map("socket:[%s]"::formatted);
		return socket
			.flatMap((name) -> this.domainsByPid.entrySet()
				.stream()
				.filter((process) -> ownsSocket(process.getKey(), name))
				.map(Map.Entry::getValue)
				.findFirst())
			.orElse(UNKNOWN);
	}

	private static Optional<String> findSocketInode(int localPort, int remotePort) {
		String localSuffix = ":%04X".formatted(localPort);
		String remoteSuffix = ":%04X".formatted(remotePort);
		for (Path table : TCP_TABLES) {
			try {
				for (String line : Files.readAllLines(table)) {
					if (!line.contains(localSuffix) || !line.contains(remoteSuffix)) {
						continue;
					}
					String[] columns = line.trim().split("\\s+");
					if (columns[LOCAL_COLUMN].endsWith(localSuffix) && columns[REMOTE_COLUMN].endsWith(remoteSuffix)) {
						return Optional.of(columns[INODE_COLUMN]);
					}
				}
			}
			catch (IOException ex) {
				// The table is missing, for example tcp6 on a machine without IPv6.
			}
		}
		return Optional.empty();
	}

	private static boolean ownsSocket(long pid, String socket) {
		try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
			for (Path file : files) {
				if (isLinkTo(file, socket)) {
					return true;
				}
			}
		}
		catch (IOException ex) {
			// The process has exited.
		}
		return false;
	}

	private static boolean isLinkTo(Path file, String socket) {
		try {
			return Files.readSymbolicLink(file).toString().equals(socket);
		}
		catch (IOException ex) {
			return false;
		}
	}

}
