import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's store comes back from a copy that is some seconds old. Once it has been
 * stable again for longer than the stable window, a router is killed, and clients take up
 * at other routers the streams that began after the copy was made.
 */
public final class RestoredStore {

	private static final int STREAMS = 24;

	private static final int EVENTS = 280;

	private static final int EVENT_MILLIS = 50;

	private static final int START_INTERVAL_MILLIS = 15;

	private static final int COPY_AGE_MILLIS = 3000;

	private static final int AWAY_MILLIS = 500;

	private static final int STABLE_MILLIS = 5000;

	private RestoredStore() {
	}

	/**
	 * Runs the case.
	 * @param arguments root of the repository, folder of the case
	 */
	public static void main(String[] arguments) {
		boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
		int result = Deployment.NOT_RUN;
		try (Deployment deployment = new Deployment(Path.of(arguments[0]), Path.of(arguments[1]))) {
			result = run(deployment, isDisturbed);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static int run(Deployment deployment, boolean isRestored) throws Exception {
		deployment.store().put(Platform.name("routes"), "config", StreamService.CONFIG);
		Replica.Worker worker = (request, replica, version, output) -> StreamService.answer(request, replica, version,
				output, EVENTS, EVENT_MILLIS);
		for (int number = 1; number <= 4; number++) {
			deployment.addReplica("i-" + number, "reader", worker, (number <= 2) ? "v1" : "v2");
		}
		deployment.startRouters(3);
		Thread.sleep(4000);
		RouterProcess killed = deployment.routers().get(0);
		int[] otherPorts = { deployment.routers().get(1).frontPort(), deployment.routers().get(2).frontPort() };
		List<StreamCaller> interrupted = new ArrayList<>();
		List<StreamCaller> undisturbed = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		deployment.store().makeCopy();
		deployment.record().write("the store is copied");
		for (int number = 0; number < STREAMS; number++) {
			StreamCaller caller = new StreamCaller("s" + number, deployment.record());
			int otherPort = otherPorts[number % 2];
			threads.add(start(() -> caller.run(killed.frontPort(), otherPort, otherPort)));
			interrupted.add(caller);
			Thread.sleep(START_INTERVAL_MILLIS);
		}
		Thread.sleep(COPY_AGE_MILLIS);
		if (isRestored) {
			deployment.record().write("the store is away");
			deployment.store().goAway();
		}
		Thread.sleep(AWAY_MILLIS);
		if (isRestored) {
			deployment.store().restore();
			deployment.record().write("the store is back from the copy");
		}
		Thread.sleep(STABLE_MILLIS);
		deployment.record().write("SIGKILL to router " + killed.name());
		killed.kill();
		for (int number = 0; number < STREAMS; number++) {
			StreamCaller caller = new StreamCaller("n" + number, deployment.record());
			int port = otherPorts[number % 2];
			threads.add(start(() -> caller.run(port)));
			undisturbed.add(caller);
			Thread.sleep(START_INTERVAL_MILLIS);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		long takenUp = interrupted.stream().filter(StreamCaller::isTakenUp).count();
		long wentOn = interrupted.stream().filter(StreamCaller::hasGoneOn).count();
		long begun = undisturbed.stream().filter(StreamCaller::hasBegun).count();
		String verdict = takenUp + " streams were taken up at another router, " + wentOn + " of them went on; " + begun
				+ " of " + STREAMS + " new streams began there";
		deployment.record().write(verdict);
		System.out.println(verdict);
		if (takenUp < 12 || begun < STREAMS) {
			return Deployment.NOT_RUN;
		}
		double shareGoneOn = (double) wentOn / takenUp;
		double shareBegun = (double) begun / STREAMS;
		return (shareGoneOn < shareBegun / 2) ? Deployment.RULE_BROKEN : Deployment.RULE_HELD;
	}

	private static Thread start(Runnable task) {
		Thread thread = new Thread(task);
		thread.start();
		return thread;
	}

}
