package org.mustardlane.proof.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.proof.caller.Caller;
import org.mustardlane.proof.fleet.Fleet;
import org.mustardlane.proof.fleet.FleetException;
import org.mustardlane.proof.fleet.FleetSettings;

/**
 * Runs the experiments with the same traces for three ways of routing: naive routing as
 * the baseline, the default policy ("chosen") and a single router that sees all requests
 * ("all-seeing").
 */
final class MeasureRun {

	private static final List<Experiment> UNDER_LOAD = List.of(new ControlTrafficExperiment(), new CacheExperiment(),
			new FirstTokenExperiment(), new TailExperiment(), new HeadOfLineExperiment(), new CrestExperiment());

	private static final Experiment CACHE = new CacheExperiment();

	private static final Experiment OVERHEAD = new OverheadExperiment();

	/**
	 * Minimum share of calls that the single router must answer for its cache reuse to
	 * serve as the reference.
	 */
	private static final double LEAST_ANSWERED = 0.99;

	private final MeasureSettings settings;

	private final PrintStream progress;

	MeasureRun(MeasureSettings settings, PrintStream progress) {
		this.settings = settings;
		this.progress = progress;
	}

	List<ReportRow> run() throws FleetException {
		List<ReportRow> rows = new ArrayList<>();
		rows.addAll(underLoad());
		if (this.settings.isWanted(OVERHEAD.name())) {
			rows.addAll(overhead());
		}
		return rows;
	}

	private List<ReportRow> underLoad() throws FleetException {
		List<Experiment> wanted = UNDER_LOAD.stream()
			.filter((experiment) -> this.settings.isWanted(experiment.name()))
			.toList();
		if (wanted.isEmpty()) {
			return List.of();
		}
		EngineModel model = new EngineModel(8, 8, 8, 2, 50, 400_000, this.settings.seed());
		Map<String, Map<String, Double>> naive = this.settings.isNaiveDirect()
				? withFleet("naive", model, 0, List.of(), wanted)
				: withFleet("naive", model, this.settings.routers(), List.of("--policy", "naive"), wanted);
		Map<String, Map<String, Double>> chosen = withFleet("chosen", model, this.settings.routers(), List.of(),
				wanted);
		Map<String, Map<String, Double>> allSeeing = wanted.stream().anyMatch((one) -> one.name().equals(CACHE.name()))
				? withFleet("all-seeing", model, 1, List.of(), List.of(CACHE)) : Map.of();
		addReuseRatio(naive, allSeeing);
		addReuseRatio(chosen, allSeeing);
		return rows(wanted, naive, chosen, allSeeing);
	}

	private static void addReuseRatio(Map<String, Map<String, Double>> figures,
			Map<String, Map<String, Double>> allSeeing) {
		if (figures.containsKey(CACHE.name()) && allSeeing.containsKey(CACHE.name())) {
			Map<String, Double> own = figures.get(CACHE.name());
			Map<String, Double> reference = allSeeing.get(CACHE.name());
			boolean isUsable = reference.get(CacheExperiment.ANSWERED) >= LEAST_ANSWERED;
			own.put(Goal.REUSE_RATIO,
					isUsable ? own.get(CacheExperiment.REUSE) / reference.get(CacheExperiment.REUSE) : Double.NaN);
		}
	}

	private List<ReportRow> overhead() throws FleetException {
		EngineModel model = new EngineModel(8, 64, 2, 0, 100, 400_000, this.settings.seed());
		Map<String, Double> direct = withFleet("direct", model, 0, List.of(), List.of(OVERHEAD)).get(OVERHEAD.name());
		Map<String, Double> routed = withFleet("one router", model, 1, List.of(), List.of(OVERHEAD))
			.get(OVERHEAD.name());
		for (int streams : OverheadExperiment.STREAMS) {
			String figure = OverheadExperiment.totalFigure(streams);
			routed.put(Goal.addedFigure(streams), routed.get(figure) - direct.get(figure));
		}
		return rows(List.of(OVERHEAD), Map.of(OVERHEAD.name(), direct), Map.of(OVERHEAD.name(), routed), Map.of());
	}

	private Map<String, Map<String, Double>> withFleet(String way, EngineModel model, int routers,
			List<String> routerFlags, List<Experiment> experiments) throws FleetException {
		FleetSettings fleetSettings = FleetSettings.SMALL.withRouters(routers)
			.withRouterFlags(routerFlags)
			.withEngines(model.engines(), model.slots(), model.flags())
			.withDirectTargets();
		Map<String, Map<String, Double>> figures = new LinkedHashMap<>();
		try (Fleet fleet = (routers > 0) ? Fleet.start(fleetSettings) : Fleet.startWithoutRouters(fleetSettings);
				Caller caller = new Caller()) {
			for (Experiment experiment : experiments) {
				if (routers > 0 || !(experiment instanceof ControlTrafficExperiment)) {
					this.progress.printf("%s: %s ...%n", way, experiment.name());
					Route route = (routers > 0) ? new RouterRoute(caller, fleet.liveRouters())
							: new DirectRoute(caller, fleet.targets().ofKind(TargetKind.ENGINE));
					figures.put(experiment.name(),
							experiment.run(new Bench(fleet, route, caller, model, this.settings.seed())));
				}
			}
		}
		return figures;
	}

	private static List<ReportRow> rows(List<Experiment> experiments, Map<String, Map<String, Double>> naive,
			Map<String, Map<String, Double>> chosen, Map<String, Map<String, Double>> allSeeing) {
		List<ReportRow> rows = new ArrayList<>();
		for (Experiment experiment : experiments) {
			String name = experiment.name();
			Set<String> figures = new LinkedHashSet<>(chosen.getOrDefault(name, Map.of()).keySet());
			for (String figure : figures) {
				rows.add(new ReportRow(name, figure, value(naive, name, figure), value(chosen, name, figure),
						value(allSeeing, name, figure)));
			}
		}
		return rows;
	}

	private static double value(Map<String, Map<String, Double>> figures, String experiment, String figure) {
		return figures.getOrDefault(experiment, Map.of()).getOrDefault(figure, Double.NaN);
	}

}
