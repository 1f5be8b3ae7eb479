package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;
import org.mustardlane.protocol.PublishAnswer.Verdict;

/**
 * What became of a change.
 *
 * @param file the file of the change
 * @param changeId names the change
 * @param verdict what became of it
 * @param revision with {@code ACCEPTED}: the revision of the catalogue with the change
 * @param winnerRevision with {@code LOST_RACE}: the revision that came first
 * @param findings with {@code REJECTED}: all that is wrong
 * @param message further facts of the router in words
 * @param inForce with {@code ACCEPTED}: where the change is in force
 */
record PublishReport(String file, String changeId, Verdict verdict, long revision, long winnerRevision,
		List<Finding> findings, String message, InForce inForce) implements Report {

	/**
	 * Copies the collections, so that the record is immutable.
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
					+ FindingLines.write(this.file, this.findings);
			case LOST_RACE -> "lost to revision %d%n".formatted(this.winnerRevision);
			case UNAVAILABLE -> "not published: the log can not be reached%s%n".formatted(more());
			default -> "unknown: the change may be in the catalogue%s; publish it again with --change-id %s%n"
				.formatted(more(), this.changeId);
		};
	}

	private String more() {
		return this.message.isEmpty() ? "" : " (" + this.message + ")";
	}

	@Override
	public ExitCode exitCode() {
		return switch (this.verdict) {
			case ACCEPTED -> this.inForce.isEverywhere() ? ExitCode.OK : ExitCode.PARTIAL;
			case REJECTED -> ExitCode.REJECTED;
			case LOST_RACE -> ExitCode.LOST_RACE;
			case UNAVAILABLE -> ExitCode.UNAVAILABLE;
			default -> ExitCode.UNKNOWN;
		};
	}

}
