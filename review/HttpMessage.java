/**
 * A request or an answer.
 */
record HttpMessage(String head, byte[] body) {

	String startLine() {
		return this.head.substring(0, this.head.indexOf('\n'));
	}

	String target() {
		return startLine().split(" ")[1];
	}

	int status() {
		return Integer.parseInt(startLine().split(" ")[1]);
	}

	String header(String name) {
		for (String line : this.head.split("\n")) {
			if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
				return line.substring(name.length() + 1).strip();
			}
		}
		return "";
	}

}
