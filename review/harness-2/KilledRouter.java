import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A router is killed just after the first replica with the next version of its software has
 * come into service. Clients take their streams up again at another router, while all
 * replicas of the version that began them still serve.
 */
public final class KilledRouter {

	private static final int STREAMS = 24;

	private static final int START_INTERVAL_MILLIS = 15;

	private static final int KILL_DELAY_MILLIS = 150;

	private KilledRouter() {
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

	private static int run(Deployment deployment, boolean isDisturbed) throws Exception {
		deployment.store().put(Platform.name("routes"), "config", StreamService.CONFIG);
		for (int number = 1; number <= 4; number++) {
			deployment.addReplica("i-" + number, "reader", StreamService::answer, "v1");
		}
		deployment.startRouters(3);
		Thread.sleep(3000);
		RouterProcess killed = deployment.routers().get(0);
		int[] otherPorts = { deployment.routers().get(1).frontPort(), deployment.routers().get(2).frontPort() };
		List<StreamCaller> interrupted = new ArrayList<>();
		List<StreamCaller> undisturbed = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < STREAMS; number++) {
			StreamCaller caller = new StreamCaller("s" + number, deployment.record());
			int otherPort = otherPorts[number % 2];
			threads.add(start(() -> caller.run(killed.frontPort(), otherPort, otherPort)));
			interrupted.add(caller);
			Thread.sleep(START_INTERVAL_MILLIS);
		}
		Thread.sleep(1500);
		deployment.addReplica("i-5", "reader", StreamService::answer, "v2");
		if (isDisturbed) {
			Thread.sleep(KILL_DELAY_MILLIS);
			deployment.record().write("SIGKILL to router " + killed.name());
			killed.kill();
		}
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
		if (!isDisturbed) {
			return (interrupted.stream().allMatch(StreamCaller::isComplete) && begun == STREAMS) ? Deployment.RULE_HELD : Deployment.NOT_RUN;
		}
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
