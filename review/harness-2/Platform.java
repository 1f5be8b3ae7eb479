import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Properties;

/**
 * Reads the names and texts of the platform's interface, which stand beside the sources.
 */
final class Platform {

	private static final Properties NAMES = loadNames();

	private Platform() {
	}

	private static Properties loadNames() {
		Properties names = new Properties();
		try {
			names.load(new StringReader(read("names.properties")));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		return names;
	}

	/**
	 * Returns a name of the platform.
	 * @param key what it names
	 * @return the name
	 */
	static String name(String key) {
		return Optional.ofNullable(NAMES.getProperty(key)).orElseThrow();
	}

	/**
	 * Reads a text.
	 * @param file name of its file
	 * @return the text without white space around it
	 */
	static String read(String file) {
		try (InputStream input = Platform.class.getResourceAsStream(file)) {
			return new String(input.readAllBytes(), StandardCharsets.UTF_8).strip();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
