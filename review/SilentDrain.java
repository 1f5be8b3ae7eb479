import java.util.List;

/**
 * Open connections go silent; a server leaves a little later.
 */
public final class SilentDrain {

	private static final int STABLE_WINDOW_MILLIS = 3000;

	private static final int DRAIN_MILLIS = 2000;

	private static final int REMOVED_AFTER_MILLIS = 900;

	/** A request may be on its way for so long without counting. */
	private static final int SLACK_MILLIS = 100;

	public static void main(String[] arguments) {
		Case.run(arguments, SilentDrain::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		Proxy toStore = current.closeAtEnd(new Proxy(store.port()));
		Target leaving = new Target(current, "i-leaving", "svc", "zone-a");
		Target staying = new Target(current, "i-staying", "svc", "zone-b");
		Proxy toLeaving = current.closeAtEnd(new Proxy(leaving.port()));
		Proxy toStaying = current.closeAtEnd(new Proxy(staying.port()));
		store.put(Names.CONFIG_TOPIC, "config", new Configuration(1).route("/job/", "idempotent", "svc", 1000, 200, 2).service("svc").toString());
		store.put(Names.SERVERS_TOPIC, leaving.id(), leaving.entry(toLeaving.port(), "ready"));
		store.put(Names.SERVERS_TOPIC, staying.id(), staying.entry(toStaying.port(), "ready"));
		List<Router> routers = Router.start(current, toStore.port(), "zone-a", "zone-b");
		Case.sleep(6000);
		long silentAt = current.now();
		if (current.isTroubled()) {
			int count = toStore.silence() + toLeaving.silence() + toStaying.silence();
			current.note("disruption: " + count + " open connections to the store and to servers go silent");
		}
		for (Router router : routers) {
			Case.start(() -> press(current, router, silentAt));
		}
		current.sleepUntil(silentAt + REMOVED_AFTER_MILLIS);
		long acknowledgedAt = store.put(Names.SERVERS_TOPIC, leaving.id(), "");
		current.sleepUntil(silentAt + 12_000);
		long boundAt = Math.max(acknowledgedAt + DRAIN_MILLIS, silentAt + STABLE_WINDOW_MILLIS) + SLACK_MILLIS;
		long late = leaving.runs().stream().filter((run) -> run.atMillis() > boundAt).count();
		long lastAt = leaving.runs().stream().mapToLong(Target.Run::atMillis).max().orElse(0);
		current.note("removal acknowledged at " + acknowledgedAt + " ms, bound at " + boundAt + " ms, last request at "
				+ leaving.id() + " at " + lastAt + " ms, requests after the bound: " + late);
		return (late > 0) ? Case.BROKEN : Case.HELD;
	}

	private static void press(Case current, Router router, long fromMillis) {
		for (int number = 0; current.now() < fromMillis + 11_500; number++) {
			String id = router.name() + "-" + number;
			long sentAt = current.now();
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/x", id, 1000, 0, ""), new byte[0], 1000);
			current.note("client " + id + " sent at " + sentAt + ": " + answer.brief());
			Case.sleep(50);
		}
	}

}
