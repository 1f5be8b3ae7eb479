import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer writes incomplete entries under the id of a server of another service.
 */
public final class ForgedEntry {

	private static final int BEAT_MILLIS = 1200;

	private static final int FORGED_ENTRIES = 8;

	private static final int PRESS_MILLIS = 12_000;

	public static void main(String[] arguments) {
		Case.run(arguments, ForgedEntry::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		List<Target> targets = List.of(new Target(current, "i-a1", "svc-a", "zone-a"),
				new Target(current, "i-a2", "svc-a", "zone-b"), new Target(current, "i-b1", "svc-b", "zone-a"),
				new Target(current, "i-b2", "svc-b", "zone-b"));
		store.put(Names.CONFIG_TOPIC, "config", new Configuration(1).route("/a/", "non_idempotent", "svc-a", 1000, 200, 1)
			.route("/b/", "idempotent", "svc-b", 1000, 200, 2)
			.service("svc-a")
			.service("svc-b")
			.toString());
		for (Target target : targets) {
			Case.start(() -> beat(store, target));
		}
		Case.sleep(200);
		List<Router> routers = Router.start(current, store.port(), "zone-a", "zone-b");
		Case.sleep(4000);
		for (Router router : routers) {
			Case.start(() -> press(current, router));
		}
		Case.sleep(1000);
		Target victim = targets.get(2);
		for (int number = 0; number < FORGED_ENTRIES; number++) {
			if (current.isTroubled()) {
				store.put(Names.SERVERS_TOPIC, victim.id(), "{\"service\":\"svc-a\",\"address\":\"127.0.0.1:" + victim.port()
						+ "\",\"zone\":\"zone-a\",\"slots\":8,\"state\":\"ready\"}");
			}
			Case.sleep(BEAT_MILLIS - 100);
		}
		Case.sleep(1500);
		long wrong = targets.stream()
			.filter((target) -> target.id().startsWith("i-b"))
			.flatMap((target) -> target.runs().stream())
			.filter((run) -> run.requestLine().contains(" /a/"))
			.count();
		current.note("requests of the route /a/ that servers of svc-b ran: " + wrong);
		return (wrong > 0) ? Case.BROKEN : Case.HELD;
	}

	private static void beat(Store store, Target target) {
		while (true) {
			store.beat(target.id(), target.entry(target.port(), "ready"));
			Case.sleep(BEAT_MILLIS);
		}
	}

	private static void press(Case current, Router router) {
		AtomicInteger number = new AtomicInteger();
		long endMillis = current.now() + PRESS_MILLIS;
		while (current.now() < endMillis) {
			for (String route : List.of("/a/", "/b/")) {
				String id = router.name() + route.replace("/", "-") + number.incrementAndGet();
				Client.Answer answer = Client.send(router.port(),
						Client.head("POST", route + "x", id, 1000, 3, ""), "job".getBytes(), 1000);
				boolean isWrong = answer.status() == 200 && !answer.text().startsWith("i-" + route.charAt(1));
				current.note("client " + id + " " + route + ": " + answer.brief() + (isWrong ? " WRONG SERVICE" : ""));
			}
			Case.sleep(30);
		}
	}

}
