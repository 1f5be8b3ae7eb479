package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.catalogue.ChangeParser;
import org.mustardlane.core.model.catalogue.Finding;

/**
 * Checks a catalogue change without a router; references to items outside the change are
 * checked when it is published.
 */
final class ValidateCommand implements Command {

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(1, 1, "FILE");
		return () -> {
			String file = arguments.operands().get(0);
			return new ValidateReport(file, ChangeParser.parse(ChangeFile.read(file)).findings());
		};
	}

	/**
	 * What is wrong in a file.
	 *
	 * @param file the file
	 * @param findings all that is wrong
	 */
	record ValidateReport(String file, List<Finding> findings) implements Report {

		@Override
		public String text() {
			if (this.findings.isEmpty()) {
				return this.file + " is well formed; its references are checked when it is published\n";
			}
			return FindingLines.write(this.file, this.findings);
		}

		@Override
		public ExitCode exitCode() {
			return this.findings.isEmpty() ? ExitCode.OK : ExitCode.REJECTED;
		}

	}

}
