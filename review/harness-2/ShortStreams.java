import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A router that serves short streams is killed several times while replicas of two versions
 * of their software serve. Clients take their streams up again at the other routers, which
 * nothing disturbs.
 */
public final class ShortStreams {

	private static final int KILLS = 6;

	private static final int STREAMS_PER_KILL = 150;

	/**
	 * Spreads the kills evenly over the 150 ms between two writes of a router.
	 */
	private static final int MORE_STREAMS_EACH_KILL = 8;

	private static final int START_INTERVAL_MILLIS = 3;

	private static final int EVENTS = 5;

	private static final int EVENT_MILLIS = 10;

	private ShortStreams() {
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

	private static void answer(Messages.Head request, String replica, String version, OutputStream output)
			throws IOException, InterruptedException {
		StreamService.answer(request, replica, version, output, EVENTS, EVENT_MILLIS);
	}

	private static int run(Deployment deployment, boolean isDisturbed) throws Exception {
		deployment.store().put(Platform.name("routes"), "config", StreamService.CONFIG);
		for (int number = 1; number <= 6; number++) {
			deployment.addReplica("i-" + number, "reader", ShortStreams::answer, (number % 2 == 0) ? "v1" : "v2");
		}
		deployment.startRouters(3);
		Thread.sleep(5000);
		RouterProcess killed = deployment.routers().get(0);
		int[] otherPorts = { deployment.routers().get(1).frontPort(), deployment.routers().get(2).frontPort() };
		List<StreamCaller> interrupted = new ArrayList<>();
		List<StreamCaller> undisturbed = new ArrayList<>();
		for (int kill = 1; kill <= KILLS; kill++) {
			List<Thread> threads = new ArrayList<>();
			for (int number = 0; number < STREAMS_PER_KILL + MORE_STREAMS_EACH_KILL * kill; number++) {
				StreamCaller caller = new StreamCaller("s" + kill + "-" + number, deployment.record());
				int otherPort = otherPorts[number % 2];
				threads.add(start(() -> caller.run(killed.frontPort(), otherPort, otherPort)));
				interrupted.add(caller);
				Thread.sleep(START_INTERVAL_MILLIS);
			}
			if (isDisturbed) {
				deployment.record().write("SIGKILL to router " + killed.name());
				killed.kill();
			}
			for (int number = 0; number < STREAMS_PER_KILL; number++) {
				StreamCaller caller = new StreamCaller("n" + kill + "-" + number, deployment.record());
				int port = otherPorts[number % 2];
				threads.add(start(() -> caller.run(port)));
				undisturbed.add(caller);
				Thread.sleep(START_INTERVAL_MILLIS);
			}
			for (Thread thread : threads) {
				thread.join();
			}
			if (isDisturbed && kill < KILLS) {
				deployment.restart(killed);
			}
			Thread.sleep(3000);
		}
		// A stream of which only the end is missing has no event left to go on with.
		long takenUp = interrupted.stream()
			.filter((caller) -> caller.isTakenUp() && caller.lastEventBeforeTakeUp() < EVENTS)
			.count();
		long wentOn = interrupted.stream().filter(StreamCaller::hasGoneOn).count();
		long begun = undisturbed.stream().filter(StreamCaller::hasBegun).count();
		String verdict = takenUp + " streams were taken up at another router, " + wentOn + " of them went on; " + begun
				+ " of " + undisturbed.size() + " new streams began there";
		deployment.record().write(verdict);
		System.out.println(verdict);
		if (!isDisturbed) {
			return (interrupted.stream().allMatch(StreamCaller::isComplete) && begun == undisturbed.size())
					? Deployment.RULE_HELD : Deployment.NOT_RUN;
		}
		if (takenUp < 12 || begun < undisturbed.size() * 9 / 10) {
			return Deployment.NOT_RUN;
		}
		double shareGoneOn = (double) wentOn / takenUp;
		double shareBegun = (double) begun / undisturbed.size();
		return (shareGoneOn < shareBegun / 2) ? Deployment.RULE_BROKEN : Deployment.RULE_HELD;
	}

	private static Thread start(Runnable task) {
		Thread thread = new Thread(task);
		thread.start();
		return thread;
	}

}
