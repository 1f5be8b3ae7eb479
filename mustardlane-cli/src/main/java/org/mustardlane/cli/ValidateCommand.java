package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.catalogue.ChangeParser;
import org.mustardlane.core.model.catalogue.Finding;

/**
 * Validates a catalogue change without a router. References between items are validated
 * only when the change is published.
 */
final class ValidateCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(1, 1, "FILE");
		return () -> {
			String file = arguments.operands().get(0);
			return new ValidateReport(file, ChangeParser.parse(ChangeFile.read(file)).findings());
		};
	}

	/**
	 * The result of validating a file.
	 *
	 * @param file the file
	 * @param findings the errors in the file
	 */
	record ValidateReport(String file, List<Finding> findings) implements Report {

		@Override
		public String text() {
			if (this.findings.isEmpty()) {
				return this.file
						+ " is well formed; references between items are validated when the change is published\n";
			}
			return FindingLines.format(this.file, this.findings);
		}

		@Override
		public ExitCode exitCode() {
			return this.findings.isEmpty() ? ExitCode.OK : ExitCode.REJECTED;
		}

	}

}
