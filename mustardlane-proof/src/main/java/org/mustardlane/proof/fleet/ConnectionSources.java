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
 * Finds out from which failure domain a connection on this machine comes, by the process
 * that holds its other end.
 */
final class ConnectionSources {

	/**
	 * What connections of other processes come from.
	 */
	static final String UNKNOWN = "";

	private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

	private static final int LOCAL_COLUMN = 1;

	private static final int REMOTE_COLUMN = 2;

	private static final int INODE_COLUMN = 9;

	private final Map<Long, String> domains = new ConcurrentHashMap<>();

	/**
	 * Notes where a process belongs.
	 * @param pid the process
	 * @param domain its failure domain
	 */
	void add(long pid, String domain) {
		this.domains.put(pid, domain);
	}

	/**
	 * Returns where a connection comes from.
	 * @param nearPort port of its end here
	 * @param farPort port of its other end
	 * @return the failure domain
	 */
	String domainOf(int nearPort, int farPort) {
		Optional<String> socket = inode(farPort, nearPort).map("socket:[%s]"::formatted);
		return socket
			.flatMap((name) -> this.domains.entrySet()
				.stream()
				.filter((process) -> holds(process.getKey(), name))
				.map(Map.Entry::getValue)
				.findFirst())
			.orElse(UNKNOWN);
	}

	private static Optional<String> inode(int localPort, int remotePort) {
		String local = ":%04X".formatted(localPort);
		String remote = ":%04X".formatted(remotePort);
		for (Path table : TABLES) {
			try {
				for (String line : Files.readAllLines(table)) {
					if (!line.contains(local) || !line.contains(remote)) {
						continue;
					}
					String[] columns = line.trim().split("\\s+");
					if (columns[LOCAL_COLUMN].endsWith(local) && columns[REMOTE_COLUMN].endsWith(remote)) {
						return Optional.of(columns[INODE_COLUMN]);
					}
				}
			}
			catch (IOException ex) {
				// A machine without this table has no such connections.
			}
		}
		return Optional.empty();
	}

	private static boolean holds(long pid, String socket) {
		try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
			for (Path file : files) {
				if (isLinkTo(file, socket)) {
					return true;
				}
			}
		}
		catch (IOException ex) {
			// The process has ended.
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
