import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A replica crashes and starts again under its id with the next version of its software,
 * and another one crashes just after. Streams that the other one served must not go on at
 * the next version.
 */
public final class RestartedReplica {

	private static final int STREAMS = 128;

	private static final int DOWN_MILLIS = 2000;

	private static final int MAX_MIXED_STREAMS = 2;

	private RestartedReplica() {
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
		Replica first = deployment.addReplica("i-1", "reader", StreamService::answer, "v1");
		Replica second = deployment.addReplica("i-2", "reader", StreamService::answer, "v1");
		for (int number = 3; number <= 8; number++) {
			deployment.addReplica("i-" + number, "reader", StreamService::answer, "v2");
		}
		deployment.startRouters(2);
		Thread.sleep(3000);
		List<StreamCaller> callers = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		int[] ports = { deployment.routers().get(0).frontPort(), deployment.routers().get(1).frontPort() };
		for (int number = 0; number < STREAMS; number++) {
			StreamCaller caller = new StreamCaller("s" + number, deployment.record());
			int port = ports[number % 2];
			int otherPort = ports[(number + 1) % 2];
			Thread thread = new Thread(() -> caller.run(port, otherPort));
			thread.start();
			callers.add(caller);
			threads.add(thread);
			Thread.sleep(8);
		}
		if (isDisturbed) {
			Thread.sleep(1000);
			first.crash();
			Thread.sleep(DOWN_MILLIS);
			first.start("v2");
			Thread.sleep(100);
			second.crash();
			Thread.sleep(DOWN_MILLIS);
			second.start("v2");
		}
		for (Thread thread : threads) {
			thread.join();
		}
		long mixed = callers.stream().filter(StreamCaller::isMixed).count();
		long complete = callers.stream().filter(StreamCaller::isComplete).count();
		String verdict = mixed + " of " + STREAMS + " streams hold events of two versions, " + complete + " are complete";
		deployment.record().write(verdict);
		System.out.println(verdict);
		if (!isDisturbed && complete < STREAMS) {
			return Deployment.NOT_RUN;
		}
		return (mixed > MAX_MIXED_STREAMS) ? Deployment.RULE_BROKEN : Deployment.RULE_HELD;
	}

}
