package org.mustardlane.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The connections to the routers that the operator named.
 *
 * <p>
 * Used by one thread.
 */
final class RouterPool implements AutoCloseable {

	private final List<RouterClient> clients = new ArrayList<>();

	private final List<RouterException> failures = new ArrayList<>();

	/**
	 * Opens connections to all routers of the settings.
	 * @param settings the settings
	 * @throws CommandException if the certificates can not be read
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
	 * Calls the routers one after another until one answers.
	 * @param <T> kind of the answer
	 * @param call the call
	 * @return the first answer
	 * @throws CommandException if no router answers
	 */
	<T> T first(Call<T> call) throws CommandException {
		for (RouterClient client : this.clients) {
			try {
				return call.on(client);
			}
			catch (RouterException ex) {
				this.failures.add(ex);
			}
		}
		throw unreachable();
	}

	/**
	 * Calls all routers.
	 * @param <T> kind of the answers
	 * @param call the call
	 * @return the answers
	 * @throws CommandException if no router answers
	 */
	<T> List<T> all(Call<T> call) throws CommandException {
		List<T> answers = new ArrayList<>();
		for (RouterClient client : this.clients) {
			try {
				answers.add(call.on(client));
			}
			catch (RouterException ex) {
				this.failures.add(ex);
			}
		}
		if (answers.isEmpty()) {
			throw unreachable();
		}
		return answers;
	}

	private CommandException unreachable() {
		boolean notFound = this.failures.stream().allMatch(RouterException::isNotFound);
		return new CommandException(notFound ? ExitCode.USAGE : ExitCode.UNAVAILABLE, String.join("; ", warnings()));
	}

	/**
	 * Returns the calls that failed.
	 * @return the failures
	 */
	List<RouterException> failures() {
		return List.copyOf(this.failures);
	}

	/**
	 * Describes the calls that failed.
	 * @return one text a failure
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
	 * @param <T> kind of the answer
	 */
	interface Call<T> {

		T on(RouterClient client) throws RouterException;

	}

}
