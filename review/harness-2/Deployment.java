import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A small deployment on loopback: the store, replicas and routers.
 */
final class Deployment implements AutoCloseable {

	static final int RULE_HELD = 0;

	static final int NOT_RUN = 2;

	/**
	 * Differs from the code with which Java itself ends after an error.
	 */
	static final int RULE_BROKEN = 10;

	private final Path repository;

	private final Path folder;

	private final PlatformStore store = new PlatformStore();

	private final List<RouterProcess> routers = new ArrayList<>();

	private final List<Replica> replicas = new ArrayList<>();

	private final Record record;

	/**
	 * Creates a deployment.
	 * @param repository root of the repository
	 * @param caseFolder folder of the case, which gets the record
	 * @throws IOException if a port or a file is not available
	 */
	Deployment(Path repository, Path caseFolder) throws IOException {
		this.repository = repository;
		this.folder = Files.createTempDirectory("review-2");
		this.record = new Record(caseFolder.resolve("record.txt"));
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.routers.forEach(RouterProcess::close)));
	}

	Record record() {
		return this.record;
	}

	PlatformStore store() {
		return this.store;
	}

	List<RouterProcess> routers() {
		return this.routers;
	}

	Replica addReplica(String id, String service, Replica.Worker worker, String version) throws IOException {
		Replica replica = new Replica(id, service, this.store, worker, this.record);
		this.replicas.add(replica);
		replica.start(version);
		return replica;
	}

	/**
	 * Starts routers and waits until they are ready.
	 * @param count number of routers
	 * @throws Exception if one of them does not become ready
	 */
	void startRouters(int count) throws Exception {
		for (int number = 1; number <= count; number++) {
			this.routers.add(new RouterProcess("front-kiln-north-" + number, this.folder));
		}
		List<String> seeds = this.routers.stream().map(RouterProcess::controlAddress).limit(3).toList();
		for (RouterProcess router : this.routers) {
			router.start(this.repository, this.store.address(), seeds);
		}
		for (RouterProcess router : this.routers) {
			router.awaitReady();
			this.record.write("router " + router.name() + " is ready");
		}
	}

	/**
	 * Starts a router again that was killed, and waits until it is ready.
	 * @param router the router
	 * @throws Exception if it does not become ready
	 */
	void restart(RouterProcess router) throws Exception {
		router.awaitExit(2000);
		router.start(this.repository, this.store.address(),
				this.routers.stream().map(RouterProcess::controlAddress).limit(3).toList());
		router.awaitReady();
		this.record.write("router " + router.name() + " is ready again");
	}

	@Override
	public void close() throws IOException {
		this.routers.forEach(RouterProcess::close);
		this.replicas.forEach(Replica::close);
		this.store.close();
		this.record.close();
		if (System.getenv("KEEP") == null) {
			try (var files = Files.walk(this.folder)) {
				files.sorted((first, second) -> second.compareTo(first)).forEach((file) -> file.toFile().delete());
			}
		}
		else {
			System.err.println("kept " + this.folder);
		}
	}

}
