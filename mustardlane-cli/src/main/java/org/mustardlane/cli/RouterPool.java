package org.mustardlane.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Clients for all routers that the operator named.
 *
 * <p>
 * Not thread-safe.
 */
final class RouterPool implements AutoCloseable {

	private final List<RouterClient> clients = new ArrayList<>();

	private final List<RouterException> failures = new ArrayList<>();

	/**
	 * Creates a client for each router of the settings.
	 * @param settings addresses and TLS files
	 * @throws CommandException if a certificate file can not be read
	 */
	RouterPool(CliSettings settings) throws CommandException {
		try {
			for (RouterAddress address : settings.routers()) {
				this.clients.add(RouterClient.open(address, settings.tls()));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			close();
			throw new CommandException(ExitCode.USAGE, "the certificates can not be read: " + ex.getMessage());
		}
	}

	/**
	 * Calls the routers one after another until one replies.
	 * @param <T> type of the reply
	 * @param call the call
	 * @return the first reply
	 * @throws CommandException if no router replies
	 */
	<T> T callFirst(Call<T> call) throws CommandException {
		for (RouterClient client : this.clients) {
			try {
				return call.execute(client);
			}
			catch (RouterException ex) {
				this.failures.add(ex);
			}
		}
		throw noReplyException();
	}

	/**
	 * Calls all routers.
	 * @param <T> type of the reply
	 * @param call the call
	 * @return the replies, at least one
	 * @throws CommandException if no router replies
	 */
	<T> List<T> callAll(Call<T> call) throws CommandException {
		List<T> replies = new ArrayList<>();
		for (RouterClient client : this.clients) {
			try {
				replies.add(call.execute(client));
			}
			catch (RouterException ex) {
				this.failures.add(ex);
			}
		}
		if (replies.isEmpty()) {
			throw noReplyException();
		}
		return replies;
	}

	private CommandException noReplyException() {
		boolean notFound = this.failures.stream().allMatch(RouterException::isNotFound);
		return new CommandException(notFound ? ExitCode.USAGE : ExitCode.UNAVAILABLE, String.join("; ", warnings()));
	}

	/**
	 * Returns the failed calls.
	 * @return the failures, oldest first
	 */
	List<RouterException> failures() {
		return List.copyOf(this.failures);
	}

	/**
	 * Describes the failed calls.
	 * @return the distinct error messages
	 */
	List<String> warnings() {
		return this.failures.stream().map(RouterException::getMessage).distinct().collect(Collectors.toList());
	}

	@Override
	public void close() {
		this.clients.forEach(RouterClient::close);
	}

	/**
	 * A call to one router.
	 *
	 * @param <T> type of the reply
	 */
	interface Call<T> {

		T execute(RouterClient client) throws RouterException;

	}

}
