import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Open connections go silent; a change of the configuration follows.
 */
public final class SilentConfig {

	private static final int STABLE_WINDOW_MILLIS = 3000;

	private static final int CONFIG_MILLIS = 2000;

	private static final int CHANGE_AFTER_MILLIS = 500;

	public static void main(String[] arguments) {
		Case.run(arguments, SilentConfig::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		Proxy toStore = current.closeAtEnd(new Proxy(store.port()));
		Target before = new Target(current, "i-before", "svc-a", "zone-a");
		Target after = new Target(current, "i-after", "svc-b", "zone-b");
		Proxy toBefore = current.closeAtEnd(new Proxy(before.port()));
		Proxy toAfter = current.closeAtEnd(new Proxy(after.port()));
		store.put(Names.CONFIG_TOPIC, "config", configuration(1, "svc-a", false));
		store.put(Names.SERVERS_TOPIC, before.id(), before.entry(toBefore.port(), "ready"));
		store.put(Names.SERVERS_TOPIC, after.id(), after.entry(toAfter.port(), "ready"));
		List<Router> routers = Router.start(current, toStore.port(), "zone-a", "zone-b");
		Case.sleep(6000);
		store.put(Names.CONFIG_TOPIC, "config", configuration(3, "svc-a", true));
		Case.sleep(300);
		long silentAt = current.now();
		if (current.isTroubled()) {
			int count = toStore.silence() + toBefore.silence() + toAfter.silence();
			current.note("disruption: " + count + " open connections to the store and to servers go silent");
		}
		current.sleepUntil(silentAt + CHANGE_AFTER_MILLIS);
		long acknowledgedAt = store.put(Names.CONFIG_TOPIC, "config", configuration(4, "svc-b", true));
		long boundAt = Math.max(acknowledgedAt + CONFIG_MILLIS, silentAt + STABLE_WINDOW_MILLIS);
		AtomicInteger late = new AtomicInteger();
		for (Router router : routers) {
			Case.start(() -> press(current, router, silentAt, boundAt, late));
		}
		current.sleepUntil(silentAt + 9000);
		current.note("change acknowledged at " + acknowledgedAt + " ms, bound at " + boundAt
				+ " ms, requests sent after the bound and run by the old service: " + late.get());
		return (late.get() > 0) ? Case.BROKEN : Case.HELD;
	}

	private static String configuration(long version, String service, boolean added) {
		Configuration configuration = new Configuration(version).route("/job/", "idempotent", service, 1000, 200, 2);
		if (added) {
			configuration.route("/added/", "idempotent", "svc-b", 1000, 200, 2);
		}
		return configuration.service("svc-a").service("svc-b").toString();
	}

	private static void press(Case current, Router router, long fromMillis, long boundAt, AtomicInteger late) {
		for (int number = 0; current.now() < fromMillis + 8500; number++) {
			String id = router.name() + "-" + number;
			long sentAt = current.now();
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/x", id, 1000, 0, ""), new byte[0], 1000);
			boolean isLate = sentAt > boundAt && answer.text().equals("i-before");
			if (isLate) {
				late.incrementAndGet();
			}
			current.note("client " + id + " sent at " + sentAt + ": " + answer.brief() + (isLate ? " LATE" : ""));
			Case.sleep(50);
		}
	}

}
