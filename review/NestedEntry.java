import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer writes one entry that can't be read; later a server leaves, as planned.
 */
public final class NestedEntry {

	private static final int DRAIN_MILLIS = 2000;

	/** A request may be on its way for so long without counting. */
	private static final int SLACK_MILLIS = 100;

	/** As many routes as the site's configuration has beside those in use. */
	private static final int IDLE_ROUTES = 110;

	private static final int NESTED_OBJECTS = 1000;

	private static final int SERVES_ON_MILLIS = 8000;

	public static void main(String[] arguments) {
		Case.run(arguments, NestedEntry::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		Target leaving = new Target(current, "i-leaving", "svc", "zone-a");
		Target staying = new Target(current, "i-staying", "svc", "zone-b");
		Configuration configuration = new Configuration(1).route("/job/", "idempotent", "svc", 1000, 200, 2).service("svc");
		for (int number = 0; number < IDLE_ROUTES; number++) {
			configuration.route("/idle" + number + "/", "idempotent", "svc", 1000, 200, 2);
		}
		store.put(Names.CONFIG_TOPIC, "config", configuration.toString());
		store.put(Names.SERVERS_TOPIC, leaving.id(), leaving.entry(leaving.port(), "ready"));
		store.put(Names.SERVERS_TOPIC, staying.id(), staying.entry(staying.port(), "ready"));
		List<Router> routers = Router.start(current, store.port(), "zone-a", "zone-b");
		Case.sleep(4000);
		List<AtomicInteger> refusals = new ArrayList<>();
		for (Router router : routers) {
			AtomicInteger refused = new AtomicInteger();
			refusals.add(refused);
			Case.start(() -> press(current, router, refused));
		}
		Case.sleep(1000);
		if (current.isTroubled()) {
			store.put(Names.SERVERS_TOPIC, "i-stray", "{\"a\":".repeat(NESTED_OBJECTS) + "1" + "}".repeat(NESTED_OBJECTS));
		}
		Case.sleep(4000);
		Target added = new Target(current, "i-added", "svc", "zone-a");
		store.put(Names.SERVERS_TOPIC, added.id(), added.entry(added.port(), "ready"));
		long acknowledgedAt = store.put(Names.SERVERS_TOPIC, leaving.id(), leaving.entry(leaving.port(), "draining"));
		Case.sleep(SERVES_ON_MILLIS);
		long boundAt = acknowledgedAt + DRAIN_MILLIS + SLACK_MILLIS;
		long late = leaving.runs().stream().filter((run) -> run.atMillis() > boundAt).count();
		current.note("the leaving server ends");
		leaving.close();
		store.put(Names.SERVERS_TOPIC, leaving.id(), "");
		// The other server is replaced in the same way.
		store.put(Names.SERVERS_TOPIC, staying.id(), staying.entry(staying.port(), "draining"));
		Case.sleep(SERVES_ON_MILLIS);
		staying.close();
		store.put(Names.SERVERS_TOPIC, staying.id(), "");
		refusals.forEach((refused) -> refused.set(0));
		Case.sleep(3000);
		current.note("draining acknowledged at " + acknowledgedAt + " ms, bound at " + boundAt
				+ " ms, requests that reached the leaving server after the bound: " + late + "; requests that the new server ran: "
				+ added.runs().size() + "; refused in the last 3 s, with the new server ready: " + refusals);
		return (late > 0) ? Case.BROKEN : Case.HELD;
	}

	private static void press(Case current, Router router, AtomicInteger refused) {
		for (int number = 0;; number++) {
			String id = router.name() + "-" + number;
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/x", id, 1000, 0, ""), new byte[0], 1000);
			if (answer.status() != 200) {
				refused.incrementAndGet();
			}
			current.note("client " + id + ": " + answer.brief());
			Case.sleep(50);
		}
	}

}
