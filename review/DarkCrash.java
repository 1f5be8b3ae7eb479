import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A request crashes each server that begins to run it: the server goes dark and is back after some
 * seconds. The request comes again and again, among sound ones.
 */
public final class DarkCrash {

	private static final int STABLE_WINDOW_MILLIS = 3000;

	private static final int SERVERS = 6;

	private static final int DARK_MILLIS = 3000;

	private static final int REPEATS = 18;

	private static final int PAUSE_MILLIS = 4000;

	private static final int ALLOWED_RETRIES = 3;

	private final Case current;

	private final AtomicInteger crashes = new AtomicInteger();

	private final AtomicLong thirdCrashAt = new AtomicLong(Long.MAX_VALUE);

	private final AtomicInteger lateArrivals = new AtomicInteger();

	private final AtomicInteger soundAnswers = new AtomicInteger();

	private final AtomicInteger soundFailures = new AtomicInteger();

	private DarkCrash(Case current) {
		this.current = current;
	}

	public static void main(String[] arguments) {
		Case.run(arguments, (current) -> new DarkCrash(current).run());
	}

	private int run() throws Exception {
		Store store = this.current.closeAtEnd(new Store(this.current));
		List<Target> targets = new ArrayList<>();
		for (int number = 1; number <= SERVERS; number++) {
			Target[] self = new Target[1];
			self[0] = new Target(this.current, "i-" + number, "svc", "zone-" + "ab".charAt(number % 2),
					(request, exchange) -> serve(self[0], request, exchange));
			targets.add(self[0]);
		}
		store.put(Names.CONFIG_TOPIC, "config", new Configuration(1).route("/job/", "idempotent", "svc", 1000, 200, 2).service("svc").toString());
		for (Target target : targets) {
			store.put(Names.SERVERS_TOPIC, target.id(), target.entry(target.port(), "ready"));
		}
		List<Router> routers = Router.start(this.current, store.port(), "zone-a", "zone-b");
		Case.sleep(4000);
		for (Router router : routers) {
			Case.start(() -> askSoundly(router));
		}
		Case.sleep(2000);
		for (int number = 0; number < REPEATS; number++) {
			Router router = routers.get(number % routers.size());
			String id = "crashing-" + number;
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/crashing", id, 1000, 0, ""), new byte[0], 1000);
			this.current.note("client " + id + " at " + router.name() + ": " + answer.brief());
			Case.sleep(PAUSE_MILLIS);
		}
		this.current.note("crashes: " + this.crashes.get() + ", arrivals later than " + STABLE_WINDOW_MILLIS
				+ " ms after the third crash: " + this.lateArrivals.get() + ", allowed: " + ALLOWED_RETRIES
				+ "; sound requests answered: " + this.soundAnswers.get() + ", not: " + this.soundFailures.get());
		return (this.lateArrivals.get() > ALLOWED_RETRIES) ? Case.BROKEN : Case.HELD;
	}

	private void serve(Target self, HttpMessage request, HttpExchange exchange) throws IOException {
		if (!this.current.isTroubled() || !request.target().equals("/job/crashing")) {
			Case.sleep(20);
			exchange.writeSuccess(request, self.id(), self.id());
			return;
		}
		if (this.current.now() > this.thirdCrashAt.get() + STABLE_WINDOW_MILLIS) {
			this.lateArrivals.incrementAndGet();
		}
		self.goDark();
		if (this.crashes.incrementAndGet() == 3) {
			this.thirdCrashAt.set(this.current.now());
		}
		Case.sleep(DARK_MILLIS);
		self.crash();
		self.restart();
	}

	private void askSoundly(Router router) {
		for (int number = 0;; number++) {
			String id = router.name() + "-sound-" + number;
			Client.Answer answer = Client.send(router.port(), Client.head("GET", "/job/sound" + number, id, 1000, 0, ""), new byte[0], 1000);
			if (answer.status() == 200) {
				this.soundAnswers.incrementAndGet();
			}
			else {
				this.soundFailures.incrementAndGet();
				this.current.note("client " + id + ": " + answer.brief());
			}
			Case.sleep(100);
		}
	}

}
