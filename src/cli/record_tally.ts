import {
  AuditBatchSchema,
  AuditChain,
  type AuditFinding,
} from "../fold/audit_fold.ts";

const MAX_FAULTS = 1_000;

/** A fault of the audit record that is reported to operators. */
export type RecordFault =
  | Extract<AuditFinding, { type: "gap" | "lost" | "broken" }>
  /** A value on the stream or in an archive that is not a batch. */
  | Readonly<{ type: "unreadable"; text: string }>;

/** One finding of a check of the audit record. */
export type RecordFinding = AuditFinding | RecordFault;

/** Checks the audit record, counts the findings and keeps the first 1 000 faults. */
export class RecordTally {
  readonly #chain = AuditChain.create();
  readonly faults: RecordFault[] = [];
  readonly counts = {
    runs: 0,
    /** Runs of daemons whose end is not known: still running, dead, or cut off. */
    open: 0,
    batches: 0,
    requests: 0,
    gaps: 0,
    lost: 0,
    broken: 0,
    unreadable: 0,
  };

  private constructor() {}

  static create(): RecordTally {
    return new RecordTally();
  }

  /** Checks one record of the stream and returns its findings. */
  addRecord(value: unknown): readonly RecordFinding[] {
    if (AuditBatchSchema.safeParse(value).success) {
      return this.#count(this.#chain.addRecord(value));
    }
    const text = JSON.stringify(value).slice(0, 80);
    return this.#count([{ type: "unreadable", text }]);
  }

  /** Returns the remaining gaps and the end of each run. */
  finish(): readonly RecordFinding[] {
    return this.#count(this.#chain.finish());
  }

  /** Returns the counts and faults as lines of text. */
  lines(): readonly string[] {
    const counts = Object.entries(this.counts).map(([name, count]) =>
      `${name}: ${count}`
    );
    return [counts.join(", "), ...this.faults.map(faultLine)];
  }

  #count(findings: readonly RecordFinding[]): readonly RecordFinding[] {
    for (const finding of findings) {
      this.#countFinding(finding);
      const named = finding.type !== "batch" && finding.type !== "end";
      if (named && this.faults.length < MAX_FAULTS) this.faults.push(finding);
    }
    return findings;
  }

  #countFinding(finding: RecordFinding): void {
    const { counts } = this;
    switch (finding.type) {
      case "batch":
        counts.batches += 1;
        counts.requests += finding.batch.entries.length;
        return;
      case "end":
        counts.runs += 1;
        counts.open += finding.closed ? 0 : 1;
        return;
      case "gap":
        counts.gaps += 1;
        return;
      case "lost":
        counts.lost += finding.count;
        return;
      case "broken":
        counts.broken += 1;
        return;
      case "unreadable":
        counts.unreadable += 1;
    }
  }
}

function faultLine(fault: RecordFault): string {
  switch (fault.type) {
    case "gap":
      return `gap: batches ${fault.from} to ${fault.to} of daemon ${fault.daemon} are missing`;
    case "lost":
      return `lost: daemon ${fault.daemon} could not keep ${fault.count} requests before batch ${fault.seq}`;
    case "broken":
      return `broken: batch ${fault.seq} of daemon ${fault.daemon}: ${fault.reason}`;
    case "unreadable":
      return `unreadable: ${fault.text}`;
  }
}
