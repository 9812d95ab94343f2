import { type ChainLink, RecordChains } from "../fold/record_chain.ts";

const MAX_NAMED = 1_000;

/** A fault of the record that operators are told of. */
export type RecordFault = Extract<ChainLink, { type: "gap" | "altered" }>;

/** Counts what a check of the record found; of many faults the first are named. */
export class RecordTally {
  readonly #chains = RecordChains.create();
  readonly faults: RecordFault[] = [];
  batches = 0;
  records = 0;
  gaps = 0;
  altered = 0;

  private constructor() {}

  static create(): RecordTally {
    return new RecordTally();
  }

  /** Daemons whose chains were met. */
  get daemons(): number {
    return this.#chains.daemons;
  }

  /** Checks one record of the stream and returns what it turned out to be. */
  take(value: unknown): readonly ChainLink[] {
    const links = this.#chains.take(value);
    for (const link of links) this.#count(link);
    return links;
  }

  #count(link: ChainLink): void {
    switch (link.type) {
      case "batch":
        this.batches += 1;
        this.records += link.batch.records.length;
        return;
      case "doubled":
        return;
      case "gap":
        this.gaps += 1;
        break;
      case "altered":
        this.altered += 1;
    }
    if (this.faults.length < MAX_NAMED) this.faults.push(link);
  }

  /** What was counted, as data. */
  summary() {
    const { daemons, batches, records, gaps, altered, faults } = this;
    return { daemons, batches, records, gaps, altered, faults };
  }

  /** What was counted, as lines of text. */
  lines(): readonly string[] {
    const { daemons, batches, records, gaps, altered } = this;
    return [
      `daemons: ${daemons}, batches: ${batches}, records: ${records}, gaps: ${gaps}, altered: ${altered}`,
      ...this.faults.map(faultLine),
    ];
  }
}

function faultLine(fault: RecordFault): string {
  if (fault.type === "gap") {
    return `gap: batches ${fault.from} to ${fault.to} of daemon ${fault.daemon} are missing`;
  }
  return `altered: batch ${fault.seq} of daemon ${
    fault.daemon || "unknown"
  }: ${fault.detail}`;
}
