package org.mustardlane.proof.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.protocol.PublishAnswer;

/**
 * A fleet of separate processes on one machine: the platform stand-in, the target
 * stand-ins and the routers.
 *
 * <p>
 * {@link #close()} kills all started processes. A shutdown hook does the same when the
 * test process is interrupted.
 */
public final class Fleet implements AutoCloseable {

	private static final int STANDIN_HEAP_MEBIBYTES = 512;

	private static final int ROUTER_HEAP_MEBIBYTES = 256;

	private static final String STANDIN = "org.mustardlane.standin.StandinMain";

	private static final String ROUTER = "org.mustardlane.router.RouterDaemon";

	private static final int WAIT_SECONDS = 60;

	private static final int POLL_MILLIS = 50;

	private final FleetSettings settings;

	private final Path logDirectory;

	private final ControlClient control = new ControlClient();

	private final List<ManagedProcess> processes = Collections.synchronizedList(new ArrayList<>());

	private final TargetGroup targets;

	private final PlatformHandle platform;

	private final Map<String, RouterHandle> routers = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Set<String> leaving = new TreeSet<>();

	private final Links links = new Links();

	private final Thread stopper = new Thread(this::stopProcesses, "fleet-stopper");

	private long firstRevision;

	private Fleet(FleetSettings settings, Path logDirectory) throws FleetException {
		this.settings = settings;
		this.logDirectory = logDirectory;
		this.targets = new TargetGroup(this.control,
				settings.forwardTargets() ? Optional.of(this.links) : Optional.empty());
		Runtime.getRuntime().addShutdownHook(this.stopper);
		try {
			this.platform = new PlatformHandle(this.control, settings.domains(), startPlatform());
			this.targets.add(TargetKind.ENGINE, startEngines(), settings);
			this.targets.add(TargetKind.SERVICE, startServices(), settings);
		}
		catch (FleetException ex) {
			stopProcesses();
			throw ex;
		}
	}

	/**
	 * Starts the platform and the targets, but no router.
	 * @param settings the size of the fleet and the flags of its processes
	 * @return the started fleet
	 * @throws FleetException if a process does not start
	 */
	public static Fleet startWithoutRouters(FleetSettings settings) throws FleetException {
		return new Fleet(settings, newLogDirectory());
	}

	/**
	 * Starts all processes, publishes the initial catalogue and waits until all routers
	 * have it.
	 * @param settings the size of the fleet and the flags of its processes
	 * @return the started fleet
	 * @throws FleetException if a process does not start or the catalogue is rejected
	 */
	public static Fleet start(FleetSettings settings) throws FleetException {
		Fleet fleet = startWithoutRouters(settings);
		try {
			fleet.startRouters();
			fleet.firstRevision = fleet.publish(fleet.catalogue()).getRevision();
			fleet.awaitRevision(fleet.firstRevision);
			return fleet;
		}
		catch (FleetException ex) {
			fleet.close();
			throw ex;
		}
	}

	/**
	 * Starts the configured number of routers in parallel and publishes the VM list.
	 * @throws FleetException if a router does not start
	 */
	public void startRouters() throws FleetException {
		Map<String, ManagedProcess> starting = new LinkedHashMap<>();
		for (int index = 0; index < this.settings.routers(); index++) {
			String vm = "vm-" + (index + 1);
			starting.put(vm, launchRouter(vm, this.settings.domain(index)));
		}
		int index = 0;
		for (Map.Entry<String, ManagedProcess> entry : starting.entrySet()) {
			register(entry.getKey(), this.settings.domain(index++), entry.getValue());
		}
		listVms();
	}

	/**
	 * Starts one router and adds it to the VM list.
	 * @param vm the VM name of the router
	 * @param domain the failure domain of the router
	 * @return the handle of the router
	 * @throws FleetException if the router does not start
	 */
	public RouterHandle startRouter(String vm, String domain) throws FleetException {
		RouterHandle router = register(vm, domain, launchRouter(vm, domain));
		listVms();
		return router;
	}

	/**
	 * Kills a router. The router stays in the VM list.
	 * @param vm the VM name of the router
	 */
	public void killRouter(String vm) {
		router(vm).process().destroy();
	}

	/**
	 * Starts a new router process with the VM name and domain of one that has exited.
	 * @param vm the VM name of the router
	 * @return the handle of the router
	 * @throws FleetException if the router does not start
	 */
	public RouterHandle restartRouter(String vm) throws FleetException {
		return startRouter(vm, router(vm).domain());
	}

	/**
	 * Publishes a catalogue change, trying the running routers in turn until one accepts
	 * it.
	 * @param yaml the catalogue change
	 * @return the reply, whose verdict is {@code ACCEPTED}
	 * @throws FleetException if no router accepts the change within a minute
	 */
	public PublishAnswer publish(String yaml) throws FleetException {
		String changeId = UUID.randomUUID().toString();
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		String last = "no router is running";
		while (System.nanoTime() < deadlineNanos) {
			for (RouterHandle router : liveRouters()) {
				try (OperatorClient client = new OperatorClient(router.operatorPort())) {
					PublishAnswer answer = client.publish(changeId, yaml);
					if (answer.getVerdict() == PublishAnswer.Verdict.ACCEPTED) {
						return answer;
					}
					last = answer.toString();
				}
				catch (FleetException ex) {
					last = ex.getMessage() + ": " + ex.getCause();
				}
			}
			Waiting.pause(POLL_MILLIS);
		}
		throw new FleetException("no router accepted the catalogue change: " + last);
	}

	/**
	 * Waits until all running routers have at least a catalogue revision.
	 * @param revision the revision
	 * @throws FleetException if a router does not reach the revision within a minute
	 */
	public void awaitRevision(long revision) throws FleetException {
		for (RouterHandle router : liveRouters()) {
			awaitRevision(router, revision);
		}
	}

	/**
	 * Waits until a router has at least a catalogue revision.
	 * @param router the router
	 * @param revision the revision
	 * @throws FleetException if the router does not reach the revision within a minute
	 */
	public void awaitRevision(RouterHandle router, long revision) throws FleetException {
		try (OperatorClient client = new OperatorClient(router.operatorPort())) {
			Waiting.until(router.vm() + " has revision " + revision,
					() -> client.status().getCatalogueRevision() >= revision);
		}
	}

	/**
	 * Returns the initial catalogue of this fleet.
	 * @return the catalogue change as YAML
	 */
	public String catalogue() {
		return CatalogueYaml.whole(this.targets.all(), this.settings.engineSlots());
	}

	/**
	 * Returns the revision of the catalogue that {@link #start(FleetSettings)} published.
	 * @return the revision, or 0 if the fleet was started without routers
	 */
	public long firstRevision() {
		return this.firstRevision;
	}

	/**
	 * Returns the links between the processes.
	 * @return the links
	 */
	public Links links() {
		return this.links;
	}

	/**
	 * Sets the state of a VM in the VM list to leaving or live.
	 * @param vm the name of the VM
	 * @param isLeaving whether the VM is leaving
	 * @throws FleetException if the platform does not accept the VM list
	 */
	public void listAsLeaving(String vm, boolean isLeaving) throws FleetException {
		if (isLeaving) {
			this.leaving.add(vm);
		}
		else {
			this.leaving.remove(vm);
		}
		listVms();
	}

	/**
	 * Returns the router of a VM.
	 * @param vm the VM name of the router
	 * @return the router that was last started under this name
	 */
	public RouterHandle router(String vm) {
		return this.routers.get(vm);
	}

	/**
	 * Returns the routers whose process is running.
	 * @return the routers
	 */
	public List<RouterHandle> liveRouters() {
		return List.copyOf(this.routers.values()).stream().filter((router) -> router.process().isAlive()).toList();
	}

	/**
	 * Returns the targets.
	 * @return the targets
	 */
	public TargetGroup targets() {
		return this.targets;
	}

	/**
	 * Returns the platform.
	 * @return the platform
	 */
	public PlatformHandle platform() {
		return this.platform;
	}

	/**
	 * Returns the control client of the stand-ins.
	 * @return the client
	 */
	public ControlClient control() {
		return this.control;
	}

	/**
	 * Returns the directory that holds the logs of the processes.
	 * @return the directory
	 */
	public Path logDirectory() {
		return this.logDirectory;
	}

	@Override
	public void close() {
		stopProcesses();
		this.links.close();
		this.control.close();
		try {
			Runtime.getRuntime().removeShutdownHook(this.stopper);
		}
		catch (IllegalStateException ex) {
			// The JVM is already shutting down and runs the hook.
		}
	}

	private List<JsonNode> startPlatform() throws FleetException {
		int views = this.settings.domains().size();
		return startStandin("platform", views, List.of("--views", Integer.toString(views)),
				this.settings.platformFlags());
	}

	private List<JsonNode> startEngines() throws FleetException {
		int count = this.settings.engines();
		return startStandin("engines", count,
				List.of("--count", Integer.toString(count), "--slots", Integer.toString(this.settings.engineSlots())),
				this.settings.engineFlags());
	}

	private List<JsonNode> startServices() throws FleetException {
		int count = this.settings.services();
		return startStandin("services", count,
				List.of("--count", Integer.toString(count), "--slots", Integer.toString(this.settings.engineSlots())),
				this.settings.serviceFlags());
	}

	private List<JsonNode> startStandin(String command, int lines, List<String> flags, List<String> furtherFlags)
			throws FleetException {
		List<String> args = new ArrayList<>(List.of(command));
		args.addAll(flags);
		args.addAll(furtherFlags);
		return launch(command, JavaCommand.of(STANDIN_HEAP_MEBIBYTES, STANDIN, args)).awaitListening(lines);
	}

	private ManagedProcess launchRouter(String vm, String domain) throws FleetException {
		List<String> args = new ArrayList<>(
				List.of("--vm", vm, "--domain", domain, "--host", "127.0.0.1", "--caller-port", "0", "--peer-port", "0",
						"--operator-port", "0", "--metrics-port", "0", "--platform-url", this.platform.url(domain),
						"--advertised-peer-port", Integer.toString(this.links.toRouter(vm, domain).port())));
		args.addAll(this.settings.routerFlags());
		boolean isAlone = this.settings.routers() == 1;
		ManagedProcess process = launch(vm, isAlone ? JavaCommand.optimised(ROUTER_HEAP_MEBIBYTES, ROUTER, args)
				: JavaCommand.of(ROUTER_HEAP_MEBIBYTES, ROUTER, args));
		this.links.addSource(process.pid(), domain);
		return process;
	}

	private RouterHandle register(String vm, String domain, ManagedProcess process) throws FleetException {
		JsonNode line = process.awaitListening(1).get(0);
		Forwarder link = this.links.toRouter(vm, domain);
		link.connectTo(line.path("peerPort").asInt());
		RouterHandle router = new RouterHandle(vm, domain, process, line.path("callerPort").asInt(), link.port(),
				line.path("operatorPort").asInt(), line.path("metricsPort").asInt());
		this.routers.put(vm, router);
		return router;
	}

	private ManagedProcess launch(String name, List<String> command) throws FleetException {
		ManagedProcess process = ManagedProcess.start(name, command, this.logDirectory.resolve(name + ".log"));
		this.processes.add(process);
		return process;
	}

	private void listVms() throws FleetException {
		this.platform.list(VmRows.of(List.copyOf(this.routers.values()), this.targets.all(), this.leaving));
	}

	private void stopProcesses() {
		List<ManagedProcess> started = List.copyOf(this.processes);
		started.forEach(ManagedProcess::destroy);
	}

	private static Path newLogDirectory() throws FleetException {
		try {
			return Files.createTempDirectory("mustardlane-");
		}
		catch (IOException ex) {
			throw new FleetException("cannot create the log directory", ex);
		}
	}

}
