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

	private static final String STANDIN_MAIN_CLASS = "org.mustardlane.standin.StandinMain";

	private static final String ROUTER_MAIN_CLASS = "org.mustardlane.router.RouterDaemon";

	private static final int PUBLISH_TIMEOUT_SECONDS = 60;

	private static final int RETRY_DELAY_MILLIS = 50;

	private final FleetSettings settings;

	private final Path logDirectory;

	private final StandinClient standinClient = new StandinClient();

	private final List<ManagedProcess> processes = Collections.synchronizedList(new ArrayList<>());

	private final TargetGroup targets;

	private final PlatformHandle platform;

	private final Map<String, RouterHandle> routers = Collections.synchronizedMap(new LinkedHashMap<>());

	private final Set<String> leavingVms = new TreeSet<>();

	private final NetworkLinks links = new NetworkLinks();

	private final Thread shutdownHook = new Thread(this::killProcesses, "fleet-stopper");

	private long initialRevision;

	private Fleet(FleetSettings settings, Path logDirectory) throws FleetException {
		this.settings = settings;
		this.logDirectory = logDirectory;
		this.targets = new TargetGroup(this.standinClient,
				settings.forwardTargets() ? Optional.of(this.links) : Optional.empty());
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
		try {
			this.platform = new PlatformHandle(this.standinClient, settings.domains(), startPlatform());
			this.targets.addTargets(TargetKind.ENGINE, startEngines(), settings);
			this.targets.addTargets(TargetKind.SERVICE, startServices(), settings);
		}
		catch (FleetException ex) {
			killProcesses();
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
			fleet.initialRevision = fleet.publish(fleet.initialCatalogue()).getRevision();
			fleet.awaitRevision(fleet.initialRevision);
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
		Map<String, ManagedProcess> startingRouters = new LinkedHashMap<>();
		for (int index = 0; index < this.settings.routers(); index++) {
			String vm = "vm-" + (index + 1);
			startingRouters.put(vm, launchRouter(vm, this.settings.domain(index)));
		}
		int index = 0;
		for (Map.Entry<String, ManagedProcess> entry : startingRouters.entrySet()) {
			registerRouter(entry.getKey(), this.settings.domain(index++), entry.getValue());
		}
		publishVmList();
	}

	/**
	 * Starts one router and adds it to the VM list.
	 * @param vm the VM name of the router
	 * @param domain the failure domain of the router
	 * @return the handle of the router
	 * @throws FleetException if the router does not start
	 */
	public RouterHandle startRouter(String vm, String domain) throws FleetException {
		RouterHandle router = registerRouter(vm, domain, launchRouter(vm, domain));
		publishVmList();
		return router;
	}

	/**
	 * Kills a router. The router stays in the VM list.
	 * @param vm the VM name of the router
	 */
	public void killRouter(String vm) {
		router(vm).process().kill();
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
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(PUBLISH_TIMEOUT_SECONDS);
		String lastFailure = "no router is running";
		while (System.nanoTime() < deadlineNanos) {
			for (RouterHandle router : runningRouters()) {
				try (OperatorClient client = new OperatorClient(router.operatorPort())) {
					PublishAnswer reply = client.publish(changeId, yaml);
					if (reply.getVerdict() == PublishAnswer.Verdict.ACCEPTED) {
						return reply;
					}
					lastFailure = reply.toString();
				}
				catch (FleetException ex) {
					lastFailure = ex.getMessage() + ": " + ex.getCause();
				}
			}
			WaitUtils.sleep(RETRY_DELAY_MILLIS);
		}
		throw new FleetException("no router accepted the catalogue change: " + lastFailure);
	}

	/**
	 * Waits until all running routers have reached a catalogue revision.
	 * @param revision the revision
	 * @throws FleetException if a router does not reach the revision within a minute
	 */
	public void awaitRevision(long revision) throws FleetException {
		for (RouterHandle router : runningRouters()) {
			awaitRevision(router, revision);
		}
	}

	/**
	 * Waits until a router has reached a catalogue revision.
	 * @param router the router
	 * @param revision the revision
	 * @throws FleetException if the router does not reach the revision within a minute
	 */
	public void awaitRevision(RouterHandle router, long revision) throws FleetException {
		try (OperatorClient client = new OperatorClient(router.operatorPort())) {
			WaitUtils.awaitCondition(router.vm() + " has revision " + revision,
					() -> client.status().getCatalogueRevision() >= revision);
		}
	}

	/**
	 * Returns the initial catalogue of this fleet.
	 * @return the catalogue change as YAML
	 */
	public String initialCatalogue() {
		return CatalogueYaml.initialCatalogue(this.targets.allTargets(), this.settings.engineSlots());
	}

	/**
	 * Returns the revision of the catalogue that {@link #start(FleetSettings)} published.
	 * @return the revision, or 0 if the fleet was started without routers
	 */
	public long initialRevision() {
		return this.initialRevision;
	}

	/**
	 * Returns the links between the processes.
	 * @return the links
	 */
	public NetworkLinks links() {
		return this.links;
	}

	/**
	 * Sets the state of a VM in the VM list to leaving or live.
	 * @param vm the name of the VM
	 * @param isLeaving whether the VM is leaving
	 * @throws FleetException if the platform does not accept the VM list
	 */
	public void setLeaving(String vm, boolean isLeaving) throws FleetException {
		if (isLeaving) {
			this.leavingVms.add(vm);
		}
		else {
			this.leavingVms.remove(vm);
		}
		publishVmList();
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
	public List<RouterHandle> runningRouters() {
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
	public StandinClient standinClient() {
		return this.standinClient;
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
		killProcesses();
		this.links.close();
		this.standinClient.close();
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
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

	private List<JsonNode> startStandin(String command, int lineCount, List<String> flags, List<String> additionalFlags)
			throws FleetException {
		List<String> args = new ArrayList<>(List.of(command));
		args.addAll(flags);
		args.addAll(additionalFlags);
		return launchProcess(command, JavaCommand.fastStartCommand(STANDIN_HEAP_MEBIBYTES, STANDIN_MAIN_CLASS, args))
			.awaitListeningLines(lineCount);
	}

	private ManagedProcess launchRouter(String vm, String domain) throws FleetException {
		List<String> args = new ArrayList<>(
				List.of("--vm", vm, "--domain", domain, "--host", "127.0.0.1", "--caller-port", "0", "--peer-port", "0",
						"--operator-port", "0", "--metrics-port", "0", "--platform-url", this.platform.url(domain),
						"--advertised-peer-port", Integer.toString(this.links.routerForwarder(vm, domain).port())));
		args.addAll(this.settings.routerFlags());
		boolean isSingleRouter = this.settings.routers() == 1;
		ManagedProcess process = launchProcess(vm,
				isSingleRouter ? JavaCommand.optimisedCommand(ROUTER_HEAP_MEBIBYTES, ROUTER_MAIN_CLASS, args)
						: JavaCommand.fastStartCommand(ROUTER_HEAP_MEBIBYTES, ROUTER_MAIN_CLASS, args));
		this.links.addProcess(process.pid(), domain);
		return process;
	}

	private RouterHandle registerRouter(String vm, String domain, ManagedProcess process) throws FleetException {
		JsonNode addresses = process.awaitListeningLines(1).get(0);
		Forwarder forwarder = this.links.routerForwarder(vm, domain);
		forwarder.setTargetPort(addresses.path("peerPort").asInt());
		RouterHandle router = new RouterHandle(vm, domain, process, addresses.path("callerPort").asInt(),
				forwarder.port(), addresses.path("operatorPort").asInt(), addresses.path("metricsPort").asInt());
		this.routers.put(vm, router);
		return router;
	}

	private ManagedProcess launchProcess(String name, List<String> command) throws FleetException {
		ManagedProcess process = ManagedProcess.start(name, command, this.logDirectory.resolve(name + ".log"));
		this.processes.add(process);
		return process;
	}

	private void publishVmList() throws FleetException {
		this.platform.publishVmList(
				VmListJson.create(List.copyOf(this.routers.values()), this.targets.allTargets(), this.leavingVms));
	}

	private void killProcesses() {
		List<ManagedProcess> startedProcesses = List.copyOf(this.processes);
		startedProcesses.forEach(ManagedProcess::kill);
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
