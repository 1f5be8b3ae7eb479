package org.mustardlane.router.settings;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.mustardlane.core.admission.AdmissionPolicy;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.VmId;

/**
 * Reads the settings from flags and environment variables and checks them all at once.
 */
public final class SettingsReader {

	private static final int MOST_PORT = 65_535;

	private static final int MOST_WORKERS = 64;

	private static final int MOST_TICK_MILLIS = 1000;

	private static final int LEAST_LIMIT_BYTES = 16;

	private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:.%]*:[0-9a-fA-F:.%]*");

	private final SettingValues values;

	/**
	 * Creates a reader.
	 * @param arguments the command line
	 * @param variables the environment
	 * @throws SettingsException if the command line can not be read
	 */
	public SettingsReader(String[] arguments, Map<String, String> variables) throws SettingsException {
		this.values = new SettingValues(parse(arguments), variables);
	}

	private static CommandLine parse(String[] arguments) throws SettingsException {
		try {
			CommandLine line = new DefaultParser(false).parse(options(), arguments);
			if (!line.getArgList().isEmpty()) {
				throw new SettingsException(
						List.of(new SettingFinding(line.getArgList().get(0), "is not a flag of this program")));
			}
			return line;
		}
		catch (ParseException ex) {
			throw new SettingsException(List.of(new SettingFinding("command line", ex.getMessage())));
		}
	}

	/**
	 * Returns the flags for the help text.
	 * @return the flags
	 */
	public static Options options() {
		Options options = new Options();
		for (RouterOption option : RouterOption.values()) {
			options.addOption(Option.builder()
				.longOpt(option.flag())
				.hasArg()
				.desc(option.description() + option.fallback()
					.filter((value) -> !value.isEmpty())
					.map((value) -> " (default " + value + ")")
					.orElse("") + "; variable " + option.variable())
				.get());
		}
		return options;
	}

	/**
	 * Reads and checks the settings.
	 * @return the settings
	 * @throws SettingsException if anything is wrong, with all findings
	 */
	public RouterSettings read() throws SettingsException {
		RouterSettings settings = new RouterSettings(new VmId(this.values.requiredText(RouterOption.VM)),
				new DomainId(this.values.requiredText(RouterOption.DOMAIN)), host(), ports(), platformUrl(),
				this.values.number(RouterOption.WORKERS, 1, MOST_WORKERS), this.values.longNumber(RouterOption.SEED),
				policy(), this.values.number(RouterOption.TICK_MILLIS, 1, MOST_TICK_MILLIS),
				this.values.number(RouterOption.DRAIN_MILLIS, 0, Integer.MAX_VALUE), limits(), tls());
		checkBind(settings);
		if (!this.values.findings().isEmpty()) {
			throw new SettingsException(this.values.findings());
		}
		return settings;
	}

	/**
	 * Writes the settings for the log, without secrets.
	 * @return name and value of each setting
	 */
	public String redacted() {
		return this.values.redacted();
	}

	private String host() {
		String host = this.values.requiredText(RouterOption.HOST);
		if (!IP_ADDRESS.matcher(host).matches()) {
			this.values.reject(RouterOption.HOST, "'" + host + "' is not an IP address");
		}
		return host;
	}

	private AdmissionPolicy policy() {
		String name = this.values.requiredText(RouterOption.POLICY);
		for (AdmissionPolicy policy : AdmissionPolicy.values()) {
			if (policy.name().equalsIgnoreCase(name)) {
				return policy;
			}
		}
		this.values.reject(RouterOption.POLICY, "'" + name + "' is not one of bounded, naive");
		return AdmissionPolicy.BOUNDED;
	}

	private RouterSettings.Ports ports() {
		return new RouterSettings.Ports(port(RouterOption.CALLER_PORT), port(RouterOption.PEER_PORT),
				port(RouterOption.ADVERTISED_PEER_PORT), port(RouterOption.OPERATOR_PORT),
				port(RouterOption.METRICS_PORT));
	}

	private int port(RouterOption option) {
		return this.values.number(option, 0, MOST_PORT);
	}

	private RouterSettings.Limits limits() {
		return new RouterSettings.Limits(this.values.number(RouterOption.IDLE_MILLIS, 1, Integer.MAX_VALUE),
				this.values.number(RouterOption.LINE_LIMIT_BYTES, LEAST_LIMIT_BYTES, Integer.MAX_VALUE),
				this.values.number(RouterOption.HEADER_LIMIT_BYTES, LEAST_LIMIT_BYTES, Integer.MAX_VALUE),
				this.values.number(RouterOption.BODY_LIMIT_BYTES, LEAST_LIMIT_BYTES, Integer.MAX_VALUE));
	}

	private String platformUrl() {
		String url = this.values.requiredText(RouterOption.PLATFORM_URL);
		try {
			URI uri = URI.create(url);
			if (this.values.text(RouterOption.PLATFORM_URL).isEmpty()
					|| ("http".equals(uri.getScheme()) && uri.getHost() != null)) {
				return url;
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below like an address of another kind.
		}
		this.values.reject(RouterOption.PLATFORM_URL, "'" + url + "' is not of the form http://host:port");
		return url;
	}

	private Optional<RouterSettings.TlsFiles> tls() {
		List<RouterOption> files = List.of(RouterOption.TLS_CERTIFICATE, RouterOption.TLS_KEY, RouterOption.TLS_TRUST);
		if (files.stream().allMatch((option) -> this.values.text(option).isEmpty())) {
			return Optional.empty();
		}
		files.forEach(this::checkFile);
		return Optional.of(new RouterSettings.TlsFiles(path(RouterOption.TLS_CERTIFICATE), path(RouterOption.TLS_KEY),
				path(RouterOption.TLS_TRUST)));
	}

	private Path path(RouterOption option) {
		return Path.of(this.values.text(option));
	}

	private void checkFile(RouterOption option) {
		String text = this.values.text(option);
		if (text.isEmpty()) {
			this.values.reject(option, "is required where another TLS file is given");
		}
		else if (!Files.isReadable(Path.of(text))) {
			this.values.reject(option, "the file can not be read");
		}
	}

	private void checkBind(RouterSettings settings) {
		boolean insecureAllowed = this.values.flag(RouterOption.INSECURE_BIND);
		if (settings.tls().isEmpty() && !insecureAllowed && !isLoopback(settings.host())) {
			this.values.reject(RouterOption.HOST,
					"without TLS files only a loopback address is allowed (or set --insecure-bind true)");
		}
	}

	private static boolean isLoopback(String host) {
		try {
			return Stream.of(InetAddress.getAllByName(host)).allMatch(InetAddress::isLoopbackAddress);
		}
		catch (UnknownHostException ex) {
			// Reported as no IP address.
			return true;
		}
	}

}
