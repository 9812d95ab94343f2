import type { AdapterCosts } from "./adapter_costs.ts";
import type { CoreCosts } from "./core_costs.ts";
import { placementMessages } from "./core_rig.ts";
import { Envelope } from "../../src/gen/peer.ts";
import type { EngineRates, PollRates } from "./poll_rates.ts";
import type { WireCosts } from "./wire_costs.ts";

/** The letter's fleet. */
export const FLEET = {
  daemons: 410,
  workers: 1_400,
  requestsPerSecond: 1_200,
  teams: 300,
  changesPerDay: 7_500,
} as const;
/** What one daemon may spend on control. */
export const BUDGET = {
  bytesPerSecond: 2_048,
  usPerSecond: 39_000,
  heapBytes: 128 * 1_048_576,
} as const;

const DAY_S = 86_400;
const READ_WAIT_S = 4;
/** Tokens of a prompt in the middle of the mix of docs/ENGINE_MODEL.md. */
const USUAL_PROMPT_TOKENS = 2_500;

/** Everything that was measured. */
export type Measured = Readonly<{
  wire: WireCosts;
  core: CoreCosts;
  adapters: AdapterCosts;
  rates: PollRates;
}>;

/** One cell, and the whole list of VMs that its daemons read. */
export type Cell = Readonly<{
  daemons: number;
  engines: number;
  listedVms: number;
  teams: number;
  changesPerDay: number;
  requestsPerSecond: number;
  /** Streams of the log that each daemon follows. */
  streams: number;
}>;

/** Control bytes a second of one daemon, by cause. */
export type BytesNeed = Readonly<{
  heartbeats: number;
  engineReports: number;
  vmList: number;
  logReads: number;
  configuration: number;
  placements: number;
  total: number;
}>;

/** One cell's share of the letter's fleet. */
export function cellOfFleet(daemons: number, streams: number): Cell {
  const part = daemons / FLEET.daemons;
  return {
    daemons,
    engines: Math.round(FLEET.workers * part),
    listedVms: FLEET.daemons + FLEET.workers,
    teams: FLEET.teams,
    changesPerDay: FLEET.changesPerDay,
    requestsPerSecond: FLEET.requestsPerSecond * part,
    streams,
  };
}

/** Control bytes a second that one daemon of a cell sends and receives. */
export function bytesNeed(
  measured: Measured,
  cell: Cell,
  schedules: boolean,
): BytesNeed {
  const { wire, rates } = measured;
  const changesPerSecond = cell.changesPerDay / DAY_S;
  const engine = schedules ? rates.scheduling : rates.other;
  const parts = {
    heartbeats: 2 * (cell.daemons - 1) * wire.heartbeat,
    engineReports: cell.engines * reportBytes(wire, engine),
    vmList: listRate(rates, cell.daemons) * at(wire.vmList, cell.listedVms),
    logReads: cell.streams * wire.emptyRead / READ_WAIT_S,
    configuration: changesPerSecond * at(wire.configRead, cell.teams),
    placements: placementRate(cell, schedules) * placementBytes(wire),
  };
  const total = Object.values(parts).reduce((sum, one) => sum + one, 0);
  return { ...parts, total };
}

/** Microseconds of processor time a second that one daemon spends on control, without its cell's growth of steps. */
export function processorNeed(
  measured: Measured,
  cell: Cell,
  schedules: boolean,
): number {
  const { adapters, core, rates } = measured;
  const engine = schedules ? rates.scheduling : rates.other;
  const polls = engine.load * adapters.engineLoad.us +
    engine.state * adapters.engineState.us +
    engine.cache * adapters.engineCache.us;
  const placements = placementRate(cell, schedules);
  const perPlacement = schedules
    ? at(core.usPerPlacement.fit, cell.engines)
    : 0;
  return at(core.usByPeers.fit, cell.daemons - 1) +
    core.usByEngines.fit.slope * cell.engines +
    (cell.daemons - 1) * adapters.message.us +
    cell.engines * polls +
    listRate(rates, cell.daemons) * at(adapters.vmList, cell.listedVms) +
    cell.streams * adapters.emptyRead.us / READ_WAIT_S +
    cell.changesPerDay / DAY_S * at(core.usByTeams.fit, cell.teams) +
    placements * (perPlacement + 2 * adapters.message.us);
}

/** Heap bytes of one daemon's control state. */
export function heapNeed({ core }: Measured, cell: Cell): number {
  return cell.daemons * core.heapByPeers.slope +
    cell.engines * core.heapByEngines.slope +
    cell.teams * core.heapByTeams.slope;
}

/** The largest cell whose daemons stay within the budget of bytes; 0 if none does. */
export function largestCell(
  need: (daemons: number) => number,
  budget: number,
): number {
  let largest = 0;
  for (let daemons = 1; daemons <= FLEET.daemons; daemons += 1) {
    if (need(daemons) <= budget) largest = daemons;
    else break;
  }
  return largest;
}

/** Reads of the VM list a second by one daemon, between the measured sizes. */
function listRate(rates: PollRates, daemons: number): number {
  const larger = rates.vmList.find((one) => one.daemons >= daemons);
  return (larger ?? rates.vmList.at(-1))?.perSecond ?? 0;
}

function reportBytes(wire: WireCosts, rates: EngineRates): number {
  return rates.load * wire.engineLoad + rates.state * wire.engineState +
    rates.cache * wire.engineCache;
}

function placementRate(cell: Cell, schedules: boolean): number {
  const own = cell.requestsPerSecond / cell.daemons;
  return schedules ? cell.requestsPerSecond - own : own;
}

function placementBytes(wire: WireCosts): number {
  return placementMessages(USUAL_PROMPT_TOKENS)
    .map((one) => at(wire.peerMessage, Envelope.encode(one).finish().length))
    .reduce((sum, one) => sum + one, 0);
}

function at(
  line: Readonly<{ slope: number; intercept: number }>,
  x: number,
): number {
  return line.intercept + line.slope * x;
}
