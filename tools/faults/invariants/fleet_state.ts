import type { Offset, Revision } from "../../../src/core/id.ts";
import { ConfigFold, type ConfigState } from "../../../src/fold/config_fold.ts";
import { LogReader } from "../../../src/fold/log_reader.ts";
import { CONFIG_STREAM } from "../../../src/fold/streams.ts";
import { CAPACITY_TOKENS } from "../fake_engine.ts";
import type { Fleet } from "../fleet.ts";

const LEAVING_MS = 5_000;
const FIRST_RETRIES = 32;
const RETRIES_PER_MS = 0.5 / 1_000;
const ID_MEMORY = { idRetentionMs: 86_400_000, maxIds: 100_000 };

/** Promise 2: once all is over, all memory of all engines is free. */
export function memoryIsFree(fleet: Fleet): string | undefined {
  for (const engine of fleet.engines) {
    if (!engine.up) return `${engine.id} is down`;
    const free = engine.load().kv_free_tokens;
    if (engine.running.length === 0 && free === CAPACITY_TOKENS) continue;
    const running = engine.running.join(", ");
    return `${engine.id} has ${free} tokens free and runs ${
      running || "nothing"
    }`;
  }
  return undefined;
}

/** Promise 6: an upstream that is known to leave gets no new attempt. */
export function leavingGetsNoWork(fleet: Fleet): string | undefined {
  const wrong = fleet.facts.leavingAttempts.find((attempt) =>
    attempt.knownForMs > LEAVING_MS
  );
  return wrong &&
    `${wrong.daemon} sent work to ${wrong.upstream}, known to leave for ${wrong.knownForMs} ms`;
}

/** Promise 7: a daemon exits with nothing in flight. */
export function drainCutsNothing(fleet: Fleet): string | undefined {
  const [cut] = fleet.facts.cutOff;
  if (cut !== undefined) return `${cut.daemon} exits while ${cut.req} is open`;
  const wrong = fleet.facts.admittedProblems.find(({ problem }) =>
    problem.code === "draining"
  );
  return wrong && `${wrong.req} was admitted, then failed by the drain`;
}

/** Promise 8: the revision in force at a daemon never goes back. */
export function revisionsOnlyGrow(fleet: Fleet): string | undefined {
  const [back] = fleet.facts.stepsBack;
  return back && `${back.daemon} went from ${back.from} to ${back.to}`;
}

/** Promise 8: all daemons serve by the revision that the log says. */
export function daemonsAgree(fleet: Fleet): string | undefined {
  const expected = foldWhole(fleet).at(-1);
  for (const { id, board } of fleet.live) {
    const { revision, text, stale } = board.config;
    if (stale) return `${id} is stale`;
    if (revision !== expected?.revision) {
      return `${id} has revision ${revision}, the log has ${expected?.revision}`;
    }
    if (text !== expected.text) return `${id} has another text for ${revision}`;
  }
  return undefined;
}

/** Promise 8: of changes against one base one is accepted, and what was accepted was in force. */
export function oneOperatorWins(fleet: Fleet): string | undefined {
  const bases = new Map<Revision, string>();
  for (const { change, base, result } of fleet.operators.told) {
    if (result.outcome !== "accepted") continue;
    const other = bases.get(base);
    if (other !== undefined) {
      return `${change} and ${other} were both accepted against ${base}`;
    }
    bases.set(base, change);
  }
  return undefined;
}

/** Promise 8: what an operator was told of a change is what the whole log says of it. */
export function operatorsAreToldTheTruth(fleet: Fleet): string | undefined {
  const inForce = new Set(foldWhole(fleet).map(({ change }) => change));
  for (const { change, result } of fleet.operators.told) {
    const isTaken = inForce.has(change);
    if (result.outcome === "accepted" && !isTaken) {
      return `${change} was told accepted, but the log refused it`;
    }
    if (result.outcome === "conflict" && isTaken) {
      return `${change} was told refused, but the log took it`;
    }
  }
  return undefined;
}

/** Promise 9: on engines that check, fencing numbers never go back. */
export function fencingOnlyGrows(fleet: Fleet): string | undefined {
  for (const { id, options, fencings } of fleet.engines) {
    if (!options.checksFencing) continue;
    const index = fencings.findIndex((one, i) => one < (fencings[i - 1] ?? 0));
    if (index > 0) return `${id} took ${fencings[index]} after a newer order`;
  }
  return undefined;
}

/** Promise 9: each engine reports what the configuration says. */
export function ordersAreCarriedOut(fleet: Fleet): string | undefined {
  const hasOrders = fleet.engines.some((one) => one.fencings.length > 0);
  const expected = foldWhole(fleet).at(-1);
  if (!hasOrders || expected === undefined) return undefined;
  const groups = JSON.parse(expected.text).groups;
  for (const engine of fleet.engines) {
    const loaded = JSON.stringify(engine.state().loaded);
    if (loaded === JSON.stringify(groups[0].loaded)) continue;
    return `${engine.id} has ${loaded} loaded`;
  }
  return undefined;
}

/** Retries stay within their budget. */
export function retriesAreBounded(fleet: Fleet): string | undefined {
  for (const { id, board, startedAt } of fleet.live) {
    const { retried, counted } = board.counters;
    const retries = Object.values(retried).reduce((sum, one) => sum + one, 0);
    const ratio = board.config.serving?.limits.retryRatio ?? 0;
    const allowed = FIRST_RETRIES + counted.requests_finished * ratio +
      (fleet.timeline.now - startedAt) * RETRIES_PER_MS;
    if (retries > allowed) return `${id} has made ${retries} retries`;
  }
  return undefined;
}

/** Every state that the whole log, with what has expired, has put in force. */
function foldWhole(fleet: Fleet): readonly ConfigState[] {
  const records = fleet.log.history.get(CONFIG_STREAM) ?? [];
  const reader = LogReader.create(ID_MEMORY);
  const end = records.length as Offset;
  const read = reader.read({ records, nextOffset: end, endOffset: end });
  if (read.type === "gap") return [];
  const fold = ConfigFold.create();
  return read.entries
    .flatMap((entry) => fold.foldRecord(entry))
    .filter((decision) => decision.accepted)
    .map((decision) => decision.state);
}
