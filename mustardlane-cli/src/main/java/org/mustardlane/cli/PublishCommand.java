package org.mustardlane.cli;

import java.util.List;
import java.util.UUID;

import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;

/**
 * Publishes a catalogue change and waits until it is in force on all routers.
 */
final class PublishCommand implements Command {

	private static final long REPLY_MARGIN_MILLIS = 2_000;

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(1, 1, "FILE");
		arguments.requireRouter(settings);
		arguments.require(arguments.value(CliOption.AUTHOR).isPresent(), "--author: is missing");
		return () -> {
			String file = arguments.operands().get(0);
			PublishRequest request = PublishRequest.newBuilder()
				.setChangeId(arguments.value(CliOption.CHANGE_ID).orElseGet(() -> UUID.randomUUID().toString()))
				.setAuthor(arguments.value(CliOption.AUTHOR).orElseThrow())
				.setChangeYaml(ChangeFile.read(file))
				.setDeadlineMillis(System.currentTimeMillis() + settings.timeoutMillis())
				.build();
			try (RouterPool pool = new RouterPool(settings)) {
				return publish(pool, request, file, settings);
			}
		};
	}

	private static Report publish(RouterPool pool, PublishRequest request, String file, CliSettings settings)
			throws CommandException {
		PublishAnswer reply = sendRequest(pool, request, settings);
		Rollout rollout = Rollout.NONE;
		if (reply.getVerdict() == PublishAnswer.Verdict.ACCEPTED) {
			rollout = Rollout.await(pool, reply.getRevision(), settings.timeoutMillis());
		}
		List<Finding> findings = reply.getFindingsList()
			.stream()
			.map((finding) -> new Finding(finding.getPath(), finding.getLine(), finding.getColumn(),
					finding.getMessage()))
			.toList();
		return new PublishReport(file, request.getChangeId(), reply.getVerdict(), reply.getRevision(),
				reply.getWinnerRevision(), findings, reply.getMessage(), rollout);
	}

	private static PublishAnswer sendRequest(RouterPool pool, PublishRequest request, CliSettings settings)
			throws CommandException {
		try {
			PublishAnswer reply = pool
				.callFirst((client) -> client.publish(request, settings.timeoutMillis() + REPLY_MARGIN_MILLIS));
			boolean ambiguous = reply.getVerdict() == PublishAnswer.Verdict.UNAVAILABLE && mayHaveBeenReceived(pool);
			return ambiguous ? reply.toBuilder().setVerdict(PublishAnswer.Verdict.UNKNOWN).build() : reply;
		}
		catch (CommandException ex) {
			if (!mayHaveBeenReceived(pool)) {
				throw ex;
			}
			throw new CommandException(ExitCode.UNKNOWN,
					"%s; the change may be in the catalogue, ".formatted(ex.getMessage())
							+ "publish it again with --change-id " + request.getChangeId());
		}
	}

	private static boolean mayHaveBeenReceived(RouterPool pool) {
		return pool.failures().stream().anyMatch(RouterException::mayHaveBeenReceived);
	}

}
