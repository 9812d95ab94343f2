import type { Upstream } from "../board/upstreams_section.ts";
import type { Group, ServingConfig } from "../config/serving.ts";
import type { ModelId } from "../core/id.ts";
import type { EngineState, Loaded } from "../wire/engine.ts";

/** An engine that has reported its loaded weights. */
export type ReportingEngine = Upstream & Readonly<{ engine: EngineState }>;

/** Live engines that have reported their loaded weights. */
export function reportingEngines(
  upstreams: Iterable<Upstream>,
): readonly ReportingEngine[] {
  return [...upstreams].filter((upstream): upstream is ReportingEngine =>
    upstream.kind === "engine" && upstream.state === "live" &&
    upstream.engine !== undefined
  );
}

/** Whether an engine has role `mixed` and reports exactly the weights of its group. */
export function matchesGroup(engine: ReportingEngine, group: Group): boolean {
  return engine.engine.role === "mixed" &&
    sameWeights(engine.engine.loaded, group.loaded);
}

/** Whether an engine is loading weights. */
export function isLoading(engine: ReportingEngine): boolean {
  return engine.engine.loading.length > 0;
}

/**
 * Weights that an engine is ordered to have loaded. An engine that is the last with a model in use keeps its present
 * weights of that model until it or another engine has the new ones.
 */
export function targetWeights(
  engine: ReportingEngine,
  group: Group,
  options: { serving: ServingConfig; others: readonly ReportingEngine[] },
): readonly Loaded[] {
  const inUse = new Set(options.serving.models.map((model) => model.id));
  const kept = engine.engine.loaded.filter((loaded) =>
    !includesWeights(group.loaded, loaded) && inUse.has(loaded.model) &&
    !isLoadedElsewhere(loaded.model, options.others) &&
    !hasDesiredWeights(engine, group, loaded.model)
  );
  return [...group.loaded, ...kept];
}

/** Whether the engine has loaded any of the group's weights of the model. */
function hasDesiredWeights(
  engine: ReportingEngine,
  group: Group,
  model: ModelId,
): boolean {
  return engine.engine.loaded.some((loaded) =>
    loaded.model === model && includesWeights(group.loaded, loaded)
  );
}

function isLoadedElsewhere(
  model: ModelId,
  others: readonly ReportingEngine[],
): boolean {
  return others.some((other) =>
    other.engine.loaded.some((loaded) => loaded.model === model)
  );
}

function sameWeights(a: readonly Loaded[], b: readonly Loaded[]): boolean {
  return a.length === b.length &&
    a.every((loaded) => includesWeights(b, loaded));
}

function includesWeights(list: readonly Loaded[], wanted: Loaded): boolean {
  return list.some((loaded) => weightsKey(loaded) === weightsKey(wanted));
}

function weightsKey(loaded: Loaded): string {
  return JSON.stringify([
    loaded.model,
    loaded.version,
    [...loaded.adapters].sort(),
  ]);
}
