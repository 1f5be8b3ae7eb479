package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.protocol.PublishAnswer.Verdict;

/**
 * The result of publishing a change.
 *
 * @param file the file that holds the change
 * @param changeId id of the change
 * @param verdict result of the change
 * @param revision for {@code ACCEPTED} the revision of the change
 * @param winnerRevision for {@code LOST_RACE} the earlier revision that the change
 * conflicts with
 * @param findings for {@code REJECTED} the errors in the change
 * @param message further explanation from the router, may be empty
 * @param inForce for {@code ACCEPTED} the number of routers on which the change is in
 * force
 */
record PublishReport(String file, String changeId, Verdict verdict, long revision, long winnerRevision,
		List<Finding> findings, String message, Rollout inForce) implements Report {

	/**
	 * Copies the collections to make the record immutable.
	 */
	PublishReport {
		findings = List.copyOf(findings);
	}

	@Override
	public String text() {
		return switch (this.verdict) {
			case ACCEPTED -> "accepted at revision %d, in force on %d of %d routers after %d ms%n"
				.formatted(this.revision, this.inForce.routers(), this.inForce.ofRouters(), this.inForce.afterMillis());
			case REJECTED -> "rejected: %d findings%n".formatted(this.findings.size())
					+ FindingLines.format(this.file, this.findings);
			case LOST_RACE -> "lost to revision %d%n".formatted(this.winnerRevision);
			case UNAVAILABLE -> "not published: the log can not be reached%s%n".formatted(messageInParentheses());
			default -> "unknown: the change may be in the catalogue%s; publish it again with --change-id %s%n"
				.formatted(messageInParentheses(), this.changeId);
		};
	}

	private String messageInParentheses() {
		return this.message.isEmpty() ? "" : " (" + this.message + ")";
	}

	@Override
	public ExitCode exitCode() {
		return switch (this.verdict) {
			case ACCEPTED -> this.inForce.isComplete() ? ExitCode.OK : ExitCode.PARTIAL;
			case REJECTED -> ExitCode.REJECTED;
			case LOST_RACE -> ExitCode.LOST_RACE;
			case UNAVAILABLE -> ExitCode.UNAVAILABLE;
			default -> ExitCode.UNKNOWN;
		};
	}

}
