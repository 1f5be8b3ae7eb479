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

	private static final List<Experiment> LOAD_EXPERIMENTS = List.of(new ControlTrafficExperiment(),
			new CacheExperiment(), new FirstTokenExperiment(), new TailLatencyExperiment(), new HeadOfLineExperiment(),
			new LoadPeakExperiment());

	private static final Experiment CACHE = new CacheExperiment();

	private static final Experiment OVERHEAD = new OverheadExperiment();

	/**
	 * Minimum share of calls that the single router must answer for its cache reuse to
	 * serve as the reference.
	 */
	private static final double MIN_ANSWERED_SHARE = 0.99;

	private final MeasureSettings settings;

	private final PrintStream progress;

	MeasureRun(MeasureSettings settings, PrintStream progress) {
		this.settings = settings;
		this.progress = progress;
	}

	List<ReportRow> run() throws FleetException {
		List<ReportRow> rows = new ArrayList<>();
		rows.addAll(runLoadExperiments());
		if (this.settings.isSelected(OVERHEAD.name())) {
			rows.addAll(measureOverhead());
		}
		return rows;
	}

	private List<ReportRow> runLoadExperiments() throws FleetException {
		List<Experiment> selected = LOAD_EXPERIMENTS.stream()
			.filter((experiment) -> this.settings.isSelected(experiment.name()))
			.toList();
		if (selected.isEmpty()) {
			return List.of();
		}
		StandinEngineSettings engineSettings = new StandinEngineSettings(8, 8, 8, 2, 50, 400_000, this.settings.seed());
		Map<String, Map<String, Double>> naive = this.settings.isNaiveDirect()
				? runWithFleet("naive", engineSettings, 0, List.of(), selected) : runWithFleet("naive", engineSettings,
						this.settings.routers(), List.of("--policy", "naive"), selected);
		Map<String, Map<String, Double>> chosen = runWithFleet("chosen", engineSettings, this.settings.routers(),
				List.of(), selected);
		Map<String, Map<String, Double>> singleRouter = selected.stream()
			.anyMatch((experiment) -> experiment.name().equals(CACHE.name()))
					? runWithFleet("all-seeing", engineSettings, 1, List.of(), List.of(CACHE)) : Map.of();
		addReuseRatio(naive, singleRouter);
		addReuseRatio(chosen, singleRouter);
		return rows(selected, naive, chosen, singleRouter);
	}

	private static void addReuseRatio(Map<String, Map<String, Double>> figures,
			Map<String, Map<String, Double>> singleRouter) {
		if (figures.containsKey(CACHE.name()) && singleRouter.containsKey(CACHE.name())) {
			Map<String, Double> cacheFigures = figures.get(CACHE.name());
			Map<String, Double> referenceFigures = singleRouter.get(CACHE.name());
			boolean isUsable = referenceFigures.get(CacheExperiment.ANSWERED_SHARE) >= MIN_ANSWERED_SHARE;
			cacheFigures.put(Goal.CACHE_REUSE_RATIO, isUsable
					? cacheFigures.get(CacheExperiment.CACHE_REUSE) / referenceFigures.get(CacheExperiment.CACHE_REUSE)
					: Double.NaN);
		}
	}

	private List<ReportRow> measureOverhead() throws FleetException {
		StandinEngineSettings engineSettings = new StandinEngineSettings(8, 64, 2, 0, 100, 400_000,
				this.settings.seed());
		Map<String, Double> directFigures = runWithFleet("direct", engineSettings, 0, List.of(), List.of(OVERHEAD))
			.get(OVERHEAD.name());
		Map<String, Double> routedFigures = runWithFleet("one router", engineSettings, 1, List.of(), List.of(OVERHEAD))
			.get(OVERHEAD.name());
		for (int streams : OverheadExperiment.STREAM_COUNTS) {
			String figure = OverheadExperiment.totalFigure(streams);
			routedFigures.put(Goal.addedMedianFigure(streams), routedFigures.get(figure) - directFigures.get(figure));
		}
		return rows(List.of(OVERHEAD), Map.of(OVERHEAD.name(), directFigures), Map.of(OVERHEAD.name(), routedFigures),
				Map.of());
	}

	private Map<String, Map<String, Double>> runWithFleet(String label, StandinEngineSettings engineSettings,
			int routers, List<String> routerFlags, List<Experiment> experiments) throws FleetException {
		FleetSettings fleetSettings = FleetSettings.SMALL.withRouters(routers)
			.withRouterFlags(routerFlags)
			.withEngines(engineSettings.engines(), engineSettings.slots(), engineSettings.flags())
			.withDirectTargets();
		Map<String, Map<String, Double>> figures = new LinkedHashMap<>();
		try (Fleet fleet = (routers > 0) ? Fleet.start(fleetSettings) : Fleet.startWithoutRouters(fleetSettings);
				Caller caller = new Caller()) {
			for (Experiment experiment : experiments) {
				if (routers > 0 || !(experiment instanceof ControlTrafficExperiment)) {
					this.progress.printf("%s: %s ...%n", label, experiment.name());
					CallSender sender = (routers > 0) ? new RouterCallSender(caller, fleet.runningRouters())
							: new DirectCallSender(caller, fleet.targets().targetsOfKind(TargetKind.ENGINE));
					figures.put(experiment.name(), experiment
						.run(new ExperimentSetup(fleet, sender, caller, engineSettings, this.settings.seed())));
				}
			}
		}
		return figures;
	}

	private static List<ReportRow> rows(List<Experiment> experiments, Map<String, Map<String, Double>> naive,
			Map<String, Map<String, Double>> chosen, Map<String, Map<String, Double>> singleRouter) {
		List<ReportRow> rows = new ArrayList<>();
		for (Experiment experiment : experiments) {
			String name = experiment.name();
			Set<String> figures = new LinkedHashSet<>(chosen.getOrDefault(name, Map.of()).keySet());
			for (String figure : figures) {
				rows.add(new ReportRow(name, figure, figureValue(naive, name, figure),
						figureValue(chosen, name, figure), figureValue(singleRouter, name, figure)));
			}
		}
		return rows;
	}

	private static double figureValue(Map<String, Map<String, Double>> figures, String experiment, String figure) {
		return figures.getOrDefault(experiment, Map.of()).getOrDefault(figure, Double.NaN);
	}

}
