/** What became of a refused caller's return. */
export type ReturnOutcome = Readonly<{
  /** Whether room was booked for it. */
  booked: boolean;
  /** Whether it came before the told time, or then. */
  came: "early" | "in_time";
  outcome: "admitted" | "refused";
}>;

/** A number of returns with the same outcome. */
export type ReturnCount = ReturnOutcome & Readonly<{ count: number }>;

/** Counts returns by what they were told, when they came and what became of them. */
export class ReturnCounts {
  readonly #counts = new Map<string, ReturnCount>();

  static create(): ReturnCounts {
    return new ReturnCounts();
  }

  add(outcome: ReturnOutcome): void {
    const key = `${outcome.booked} ${outcome.came} ${outcome.outcome}`;
    const count = (this.#counts.get(key)?.count ?? 0) + 1;
    this.#counts.set(key, { ...outcome, count });
  }

  /** All counts since the start. */
  all(): readonly ReturnCount[] {
    return [...this.#counts.values()];
  }
}
