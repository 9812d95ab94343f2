import { CoreRig, type CoreRig as Rig, type RigSize } from "./core_rig.ts";
import { type Fit, fitLine, type Point } from "./fit.ts";
import { heapOf } from "./heap.ts";
import { type ProcessorTime, processorTime } from "./processor.ts";

const SECONDS = 40;
const PLACES = 400;
const PEERS = [3, 7, 14, 28, 56];
const ENGINES = [4, 16, 48, 96];
const REQUESTS = [0, 100, 200, 400];
const TEAMS = [10, 100, 300];
const PLACE_ENGINES = [4, 16, 48, 96];
const PROMPT_TOKENS = 4_000;
const BASE: RigSize = { peers: 14, engines: 16, teams: 30, schedules: false };

/** A slope of processor time, with the noise of its points. */
export type TimeFit = Readonly<{ fit: Fit; noise: number }>;

/** Costs of the decisions alone, without any adapter. */
export type CoreCosts = Readonly<{
  /** Envelope bytes sent in a second, by peers. */
  sentBytes: Fit;
  /** Messages sent in a second, by peers. */
  sentMessages: Fit;
  /** Envelope bytes sent for one change of the configuration beyond the heartbeats, by teams. */
  changeBytes: Fit;
  /** Microseconds of processor time in a second. */
  usByPeers: TimeFit;
  usByEngines: TimeFit;
  usByRequests: TimeFit;
  /** Microseconds of processor time for one change, by teams. */
  usByTeams: TimeFit;
  /** Microseconds of processor time of the scheduling daemon for one placement, by engines. */
  usPerPlacement: TimeFit;
  heapByPeers: Fit;
  heapByEngines: Fit;
  heapByTeams: Fit;
  heapByRequests: Fit;
}>;

/** Steps the real core at several sizes. */
export async function measureCore(): Promise<CoreCosts> {
  return {
    ...measureSent(),
    changeBytes: measureChange(),
    usByPeers: await timeBy(PEERS, (peers) => ({ ...BASE, peers })),
    usByEngines: await timeBy(ENGINES, (engines) => ({ ...BASE, engines })),
    usByRequests: await timeByRequests(),
    usByTeams: await timeByTeams(),
    usPerPlacement: await timePlacements(),
    heapByPeers: heapBy([14, 56, 112, 224], (peers) => ({ ...BASE, peers })),
    heapByEngines: heapBy(
      [16, 100, 400, 1_000],
      (engines) => ({ ...BASE, engines }),
    ),
    heapByTeams: heapBy([10, 100, 300, 900], (teams) => ({ ...BASE, teams })),
    heapByRequests: heapByRequests(),
  };
}

function measureSent() {
  const sent = PEERS.map((peers) => {
    const rig = CoreRig.create({ ...BASE, peers });
    pass(rig, SECONDS);
    return { peers, ...rig.sent };
  });
  const bytes = sent.map((one) => ({ x: one.peers, y: one.bytes / SECONDS }));
  const messages = sent.map((one) => ({
    x: one.peers,
    y: one.messages / SECONDS,
  }));
  return { sentBytes: fitLine(bytes), sentMessages: fitLine(messages) };
}

/** What a change adds to the heartbeats of the seconds after it. */
function measureChange(): Fit {
  return fitLine(TEAMS.map((teams) => {
    const still = CoreRig.create({ ...BASE, teams });
    pass(still, SECONDS);
    const changed = CoreRig.create({ ...BASE, teams });
    changed.publish();
    pass(changed, SECONDS);
    return { x: teams, y: changed.sent.bytes - still.sent.bytes };
  }));
}

async function timeBy(
  sizes: readonly number[],
  sizeOf: (x: number) => RigSize,
): Promise<TimeFit> {
  const measured: [number, ProcessorTime][] = [];
  for (const x of sizes) {
    const rig = CoreRig.create(sizeOf(x));
    measured.push([x, await processorTime(SECONDS, () => pass(rig, SECONDS))]);
  }
  return toTimeFit(measured);
}

async function timeByRequests(): Promise<TimeFit> {
  const measured: [number, ProcessorTime][] = [];
  for (const requests of REQUESTS) {
    const rig = CoreRig.create({ ...BASE, schedules: true, engines: 96 });
    rig.openRequests(requests);
    const time = await processorTime(SECONDS, () => pass(rig, SECONDS));
    measured.push([rig.core.board.requests.byId.size, time]);
  }
  return toTimeFit(measured);
}

async function timeByTeams(): Promise<TimeFit> {
  const measured: [number, ProcessorTime][] = [];
  for (const teams of TEAMS) {
    const rig = CoreRig.create({ ...BASE, teams });
    const still = await processorTime(SECONDS, () => pass(rig, SECONDS));
    const changing = await processorTime(SECONDS, () => {
      for (let i = 0; i < SECONDS; i += 1) {
        rig.publish();
        rig.second();
      }
    });
    const us = changing.us - still.us;
    measured.push([teams, { us, noiseUs: changing.noiseUs + still.noiseUs }]);
  }
  return toTimeFit(measured);
}

async function timePlacements(): Promise<TimeFit> {
  const measured: [number, ProcessorTime][] = [];
  for (const engines of PLACE_ENGINES) {
    const rig = CoreRig.create({ ...BASE, engines, schedules: true });
    const time = await processorTime(
      PLACES,
      () => rig.askPlaces(PLACES, PROMPT_TOKENS),
    );
    measured.push([engines, time]);
  }
  return toTimeFit(measured);
}

function heapBy(
  sizes: readonly number[],
  sizeOf: (x: number) => RigSize,
): Fit {
  return fitLine(sizes.map((x): Point => ({
    x,
    y: heapOf(() => {
      const rig = CoreRig.create(sizeOf(x));
      pass(rig, 5);
      return rig;
    }),
  })));
}

function heapByRequests(): Fit {
  return fitLine(REQUESTS.map((requests): Point => ({
    x: requests,
    y: heapOf(() => {
      const rig = CoreRig.create({ ...BASE, schedules: true, engines: 96 });
      rig.openRequests(requests);
      return rig;
    }),
  })));
}

function toTimeFit(measured: readonly [number, ProcessorTime][]): TimeFit {
  const points = measured.map(([x, time]) => ({ x, y: time.us }));
  const noise = Math.max(...measured.map(([, time]) => time.noiseUs));
  return { fit: fitLine(points), noise };
}

function pass(rig: Rig, seconds: number): void {
  for (let i = 0; i < seconds; i += 1) rig.second();
}
