package org.mustardlane.cli;

import java.util.List;
import java.util.UUID;

import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;

/**
 * Publishes a catalogue change and watches it come into force.
 */
final class PublishCommand implements Command {

	private static final long ANSWER_MARGIN_MILLIS = 2_000;

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(1, 1, "FILE");
		arguments.requireRouter(settings);
		arguments.require(arguments.text(CliOption.AUTHOR).isPresent(), "--author: is missing");
		return () -> {
			String file = arguments.operands().get(0);
			PublishRequest request = PublishRequest.newBuilder()
				.setChangeId(arguments.text(CliOption.CHANGE_ID).orElseGet(() -> UUID.randomUUID().toString()))
				.setAuthor(arguments.text(CliOption.AUTHOR).orElseThrow())
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
		PublishAnswer answer = ask(pool, request, settings);
		InForce inForce = InForce.NOWHERE;
		if (answer.getVerdict() == PublishAnswer.Verdict.ACCEPTED) {
			inForce = InForce.await(pool, answer.getRevision(), settings.timeoutMillis());
		}
		List<Finding> findings = answer.getFindingsList()
			.stream()
			.map((finding) -> new Finding(finding.getPath(), finding.getLine(), finding.getColumn(),
					finding.getMessage()))
			.toList();
		return new PublishReport(file, request.getChangeId(), answer.getVerdict(), answer.getRevision(),
				answer.getWinnerRevision(), findings, answer.getMessage(), inForce);
	}

	private static PublishAnswer ask(RouterPool pool, PublishRequest request, CliSettings settings)
			throws CommandException {
		try {
			PublishAnswer answer = pool
				.first((client) -> client.publish(request, settings.timeoutMillis() + ANSWER_MARGIN_MILLIS));
			boolean ambiguous = answer.getVerdict() == PublishAnswer.Verdict.UNAVAILABLE && isMaybeSent(pool);
			return ambiguous ? answer.toBuilder().setVerdict(PublishAnswer.Verdict.UNKNOWN).build() : answer;
		}
		catch (CommandException ex) {
			if (!isMaybeSent(pool)) {
				throw ex;
			}
			throw new CommandException(ExitCode.UNKNOWN,
					"%s; the change may be in the catalogue, ".formatted(ex.getMessage())
							+ "publish it again with --change-id " + request.getChangeId());
		}
	}

	private static boolean isMaybeSent(RouterPool pool) {
		return pool.failures().stream().anyMatch(RouterException::isSent);
	}

}
