import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/**
 * Names of the users' platform, read from names.properties.
 */
final class Names {

	private static final Properties PROPERTIES = load();

	static final String SEAL = PROPERTIES.getProperty("seal");

	static final String EXPECTED_INSTANCE = PROPERTIES.getProperty("expected-instance");

	static final String CONFIG_TOPIC = PROPERTIES.getProperty("config-topic");

	static final String SERVERS_TOPIC = PROPERTIES.getProperty("servers-topic");

	static final String NEWEST_CALL = PROPERTIES.getProperty("newest-call");

	static final String SETTINGS_VARIABLE = PROPERTIES.getProperty("settings-variable");

	static final String ATTEMPTS_FIELD = PROPERTIES.getProperty("attempts-field");

	static final String PREFIX_FIELD = PROPERTIES.getProperty("prefix-field");

	static final String COLD_FIELD = PROPERTIES.getProperty("cold-field");

	private Names() {
	}

	private static Properties load() {
		try (InputStream input = Names.class.getResourceAsStream("names.properties")) {
			Properties properties = new Properties();
			properties.load(input);
			return properties;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
