/** One row of the fault table: faults on real processes, and what must hold all the same. */
export type ProcessCase = Readonly<{
  name: string;
  /** Resolves with what was seen; throws where a promise did not hold. */
  run: () => Promise<string>;
}>;
