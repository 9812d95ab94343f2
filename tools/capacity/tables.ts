import type { Fit } from "./fit.ts";
import {
  BUDGET,
  bytesNeed,
  type Cell,
  cellOfFleet,
  FLEET,
  heapNeed,
  type Measured,
  processorNeed,
} from "./need.ts";

/** Daemons of a cell for which needs are worked out; the last one is the whole fleet as one cell. */
export const CELL_SIZES: readonly number[] = [1, 3, 5, 15, 41, 410];
/** Streams that each daemon follows: config, keys, claims, leases. */
const STREAMS = 4;
/** Today's users: a list of 15 entry VMs, 16 engines and 3 instances of a service. */
const TODAY: Cell = {
  daemons: 15,
  engines: 16,
  listedVms: 34,
  teams: 10,
  changesPerDay: 24,
  requestsPerSecond: 20,
  streams: STREAMS,
};

/** The tables of docs/CAPACITY.md. */
export function tables(measured: Measured): string {
  return [
    "### Slopes",
    "",
    slopes(measured),
    "",
    "### Bytes a second of one daemon",
    "",
    bytes(measured),
    "",
    "### Processor time and heap of one daemon",
    "",
    processor(measured),
  ].join("\n");
}

function slopes({ wire, core, adapters, rates }: Measured): string {
  const fits: [string, Fit, string][] = [
    ["peer message, by envelope bytes", wire.peerMessage, "B"],
    ["VM list answer, by VMs", wire.vmList, "B"],
    ["read of one change, by teams", wire.configRead, "B"],
    ["published text, by teams", wire.configText, "B"],
    ["append, by record bytes", wire.append, "B"],
    ["heartbeat envelopes a second, by peers", core.sentBytes, "B/s"],
    ["sent to peers for one change, by teams", core.changeBytes, "B"],
    ["core, by peers", core.usByPeers.fit, "us/s"],
    ["core, by engines", core.usByEngines.fit, "us/s"],
    ["core, by open requests", core.usByRequests.fit, "us/s"],
    ["one change, by teams", core.usByTeams.fit, "us"],
    ["one placement, by engines", core.usPerPlacement.fit, "us"],
    ["VM list answer, by VMs", adapters.vmList, "us"],
    ["heap, by peers", core.heapByPeers, "B"],
    ["heap, by engines", core.heapByEngines, "B"],
    ["heap, by teams", core.heapByTeams, "B"],
    ["heap, by open requests", core.heapByRequests, "B"],
  ];
  const rows = fits.map(([name, fit, unit]) => [
    name,
    unit,
    round(fit.slope),
    round(fit.slopeError),
    round(fit.intercept),
    fit.points.map(({ x, y }) => `${x}: ${round(y)}`).join(", "),
  ]);
  const noise = (one: { us: number; noiseUs: number }) =>
    `${round(one.us)} ± ${round(one.noiseUs)}`;
  const single = [
    ["heartbeat, both directions", `${wire.heartbeat} B`],
    [
      "engine's load, state, empty cache poll",
      `${wire.engineLoad}, ${wire.engineState}, ${wire.engineCache} B`,
    ],
    ["empty read of a stream", `${wire.emptyRead} B`],
    ["message sent and one received", `${noise(adapters.message)} us`],
    [
      "poll of load, state, cache",
      [adapters.engineLoad, adapters.engineState, adapters.engineCache]
        .map(noise).join(", ") + " us",
    ],
    [
      "polls of one engine a second, scheduling",
      JSON.stringify(rates.scheduling),
    ],
    ["polls of one engine a second, other", JSON.stringify(rates.other)],
  ];
  return [
    table(
      ["what", "unit", "slope", "error", "intercept", "points"],
      rows,
    ),
    "",
    table(["what", "measured"], single),
  ].join("\n");
}

function bytes(measured: Measured): string {
  const rows = cases().flatMap(([name, cell]) =>
    [false, true].map((schedules) => {
      const need = bytesNeed(measured, cell, schedules);
      return [
        name,
        schedules ? "scheduling" : "other",
        ...Object.values(need).map(round),
        `${round(need.total / BUDGET.bytesPerSecond)}x`,
      ];
    })
  );
  const head = [
    "cell",
    "role",
    "heartbeats",
    "engine reports",
    "VM list",
    "log reads",
    "configuration",
    "placements",
    "total",
    "of 2 KB/s",
  ];
  return table(head, rows);
}

function processor(measured: Measured): string {
  const rows = cases().flatMap(([name, cell]) =>
    [false, true].map((schedules) => {
      const us = processorNeed(measured, cell, schedules);
      return [
        name,
        schedules ? "scheduling" : "other",
        `${round(us / 1_000)} ms/s`,
        `${round(us / BUDGET.usPerSecond)}x`,
        `${round(heapNeed(measured, cell) / 1_048_576)} MB`,
      ];
    })
  );
  return table(
    ["cell", "role", "processor time", "of 3.9% of a core", "heap of state"],
    rows,
  );
}

function cases(): [string, Cell][] {
  const fleet = CELL_SIZES.map((daemons): [string, Cell] => {
    const cell = cellOfFleet(daemons, STREAMS);
    const name =
      `${daemons} of ${FLEET.daemons} daemons, ${cell.engines} engines`;
    return [name, cell];
  });
  return [["today: 15 daemons, 16 engines", TODAY], ...fleet];
}

function table(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]) =>
    `| ${cells.join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line)]
    .join("\n");
}

function round(value: number): number {
  const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 1 ? 1 : 3;
  return Number(value.toFixed(digits));
}
