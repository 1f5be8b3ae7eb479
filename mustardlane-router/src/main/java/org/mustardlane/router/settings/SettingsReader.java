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
 * Reads the settings from flags and environment variables and reports all problems
 * together.
 */
public final class SettingsReader {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_WORKERS = 64;

	private static final int MAX_TICK_MILLIS = 1000;

	private static final int MIN_LIMIT_BYTES = 16;

	private static final Pattern IP_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:.%]*:[0-9a-fA-F:.%]*");

	private final SettingValues values;

	/**
	 * Creates a reader.
	 * @param arguments the command-line arguments
	 * @param variables the environment variables
	 * @throws SettingsException if the command line cannot be parsed
	 */
	public SettingsReader(String[] arguments, Map<String, String> variables) throws SettingsException {
		this.values = new SettingValues(parse(arguments), variables);
	}

	private static CommandLine parse(String[] arguments) throws SettingsException {
		try {
			CommandLine commandLine = new DefaultParser(false).parse(options(), arguments);
			if (!commandLine.getArgList().isEmpty()) {
				throw new SettingsException(
						List.of(new SettingFinding(commandLine.getArgList().get(0), "is an unexpected argument")));
			}
			return commandLine;
		}
		catch (ParseException ex) {
			throw new SettingsException(List.of(new SettingFinding("command line", ex.getMessage())));
		}
	}

	/**
	 * Returns the command-line options with their descriptions.
	 * @return the options
	 */
	public static Options options() {
		Options options = new Options();
		for (RouterOption option : RouterOption.values()) {
			options.addOption(Option.builder()
				.longOpt(option.flag())
				.hasArg()
				.desc(option.description() + option.defaultValue()
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
	 * @throws SettingsException if any setting is missing or invalid, with all problems
	 * found
	 */
	public RouterSettings read() throws SettingsException {
		RouterSettings settings = new RouterSettings(new VmId(this.values.requiredText(RouterOption.VM)),
				new DomainId(this.values.requiredText(RouterOption.DOMAIN)), host(), ports(), platformUrl(),
				this.values.intValue(RouterOption.WORKERS, 1, MAX_WORKERS), this.values.longValue(RouterOption.SEED),
				policy(), this.values.intValue(RouterOption.TICK_MILLIS, 1, MAX_TICK_MILLIS),
				this.values.intValue(RouterOption.DRAIN_MILLIS, 0, Integer.MAX_VALUE), limits(), tlsFiles());
		checkBindAddress(settings);
		if (!this.values.findings().isEmpty()) {
			throw new SettingsException(this.values.findings());
		}
		return settings;
	}

	/**
	 * Returns the settings for the log, with secrets redacted.
	 * @return name and value of each setting
	 */
	public String redactedText() {
		return this.values.redactedText();
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
		return this.values.intValue(option, 0, MAX_PORT);
	}

	private RouterSettings.Limits limits() {
		return new RouterSettings.Limits(this.values.intValue(RouterOption.IDLE_MILLIS, 1, Integer.MAX_VALUE),
				this.values.intValue(RouterOption.LINE_LIMIT_BYTES, MIN_LIMIT_BYTES, Integer.MAX_VALUE),
				this.values.intValue(RouterOption.HEADER_LIMIT_BYTES, MIN_LIMIT_BYTES, Integer.MAX_VALUE),
				this.values.intValue(RouterOption.BODY_LIMIT_BYTES, MIN_LIMIT_BYTES, Integer.MAX_VALUE));
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
			// Rejected after this block, like any other URL that is not http://host:port.
		}
		this.values.reject(RouterOption.PLATFORM_URL, "'" + url + "' is not of the form http://host:port");
		return url;
	}

	private Optional<RouterSettings.TlsFiles> tlsFiles() {
		List<RouterOption> files = List.of(RouterOption.TLS_CERTIFICATE, RouterOption.TLS_KEY, RouterOption.TLS_TRUST);
		if (files.stream().allMatch((option) -> this.values.text(option).isEmpty())) {
			return Optional.empty();
		}
		files.forEach(this::checkReadable);
		return Optional.of(new RouterSettings.TlsFiles(path(RouterOption.TLS_CERTIFICATE), path(RouterOption.TLS_KEY),
				path(RouterOption.TLS_TRUST)));
	}

	private Path path(RouterOption option) {
		return Path.of(this.values.text(option));
	}

	private void checkReadable(RouterOption option) {
		String text = this.values.text(option);
		if (text.isEmpty()) {
			this.values.reject(option, "is required if another TLS file is given");
		}
		else if (!Files.isReadable(Path.of(text))) {
			this.values.reject(option, "the file cannot be read");
		}
	}

	private void checkBindAddress(RouterSettings settings) {
		boolean insecureAllowed = this.values.booleanValue(RouterOption.INSECURE_BIND);
		if (settings.tls().isEmpty() && !insecureAllowed && !isLoopback(settings.host())) {
			this.values.reject(RouterOption.HOST,
					"must be a loopback address unless TLS files are given (or set --insecure-bind true)");
		}
	}

	private static boolean isLoopback(String host) {
		try {
			return Stream.of(InetAddress.getAllByName(host)).allMatch(InetAddress::isLoopbackAddress);
		}
		catch (UnknownHostException ex) {
			// host() has already reported that the value is not an IP address.
			return true;
		}
	}

}
