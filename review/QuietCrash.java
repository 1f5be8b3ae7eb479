import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes the servers that run it comes again, in a quiet hour.
 */
public final class QuietCrash {

	private static final int STABLE_WINDOW_MILLIS = 3000;

	private static final int SERVERS = 4;

	private static final int DOWN_MILLIS = 3000;

	private static final int REPEATS = 30;

	private static final int PAUSE_MILLIS = 2000;

	private static final int ALLOWED_RETRIES = 3;

	public static void main(String[] arguments) {
		Case.run(arguments, QuietCrash::run);
	}

	private static int run(Case current) throws Exception {
		Store store = current.closeAtEnd(new Store(current));
		List<Target> targets = new ArrayList<>();
		AtomicInteger crashes = new AtomicInteger();
		AtomicLong thirdCrashAt = new AtomicLong(Long.MAX_VALUE);
		AtomicInteger lateArrivals = new AtomicInteger();
		for (int number = 1; number <= SERVERS; number++) {
			String id = "i-" + number;
			Target[] self = new Target[1];
			self[0] = new Target(current, id, "svc", "zone-" + "ab".charAt(number % 2), (request, exchange) -> {
				if (!current.isTroubled() || !request.target().equals("/job/poison")) {
					exchange.writeSuccess(request, id, id);
					return;
				}
				if (current.now() > thirdCrashAt.get() + STABLE_WINDOW_MILLIS) {
					lateArrivals.incrementAndGet();
				}
				self[0].crash();
				if (crashes.incrementAndGet() == 3) {
					thirdCrashAt.set(current.now());
				}
				Case.start(() -> {
					Case.sleep(DOWN_MILLIS);
					try {
						self[0].restart();
					}
					catch (java.io.IOException ex) {
						current.note("could not restart " + id + ": " + ex);
					}
				});
			});
			targets.add(self[0]);
		}
		store.put(Names.CONFIG_TOPIC, "config", new Configuration(1).route("/job/", "idempotent", "svc", 1000, 200, 2).service("svc").toString());
		for (Target target : targets) {
			store.put(Names.SERVERS_TOPIC, target.id(), target.entry(target.port(), "ready"));
		}
		List<Router> routers = Router.start(current, store.port(), "zone-a", "zone-b");
		Case.sleep(4000);
		for (int number = 0; number < REPEATS; number++) {
			Router router = routers.get(number % routers.size());
			String id = "poison-" + number;
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/poison", id, 1000, 0, ""), new byte[0], 1000);
			current.note("client " + id + " at " + router.name() + ": " + answer.brief());
			Case.sleep(PAUSE_MILLIS);
		}
		current.note("crashes: " + crashes.get() + ", arrivals later than " + STABLE_WINDOW_MILLIS
				+ " ms after the third crash: " + lateArrivals.get() + ", allowed: " + ALLOWED_RETRIES);
		return (lateArrivals.get() > ALLOWED_RETRIES) ? Case.BROKEN : Case.HELD;
	}

}
