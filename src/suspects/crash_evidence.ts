/** Crashes after which a suspect may explain the crashes of others. */
const MIN_CULPRIT_CRASHES = 2;

/** What may crash upstreams, and the processes that ended with it aboard. */
export type CrashSet = Readonly<{ key: string; crashes: ReadonlySet<string> }>;

/**
 * What the crashes of a suspect say: each is `explained` by a culprit; others may have caused them, which shows soon
 * (`open`); or it is `guilty`.
 */
export type CrashVerdict = "explained" | "open" | "guilty";

/**
 * Says which suspects explain the crashes of others. A culprit has crashed at least twice, and at one of its crashes
 * each other such suspect was aboard of no crash that the culprit missed. So no culprit has all its crashes explained,
 * and suspects can't excuse each other.
 */
export class CrashEvidence {
  readonly #byProcess = new Map<string, CrashSet[]>();
  readonly #culprits = new Map<CrashSet, boolean>();

  private constructor(sets: Iterable<CrashSet>) {
    for (const set of sets) {
      if (set.crashes.size < MIN_CULPRIT_CRASHES) continue;
      for (const process of set.crashes) {
        const aboard = this.#byProcess.get(process) ?? [];
        this.#byProcess.set(process, aboard);
        aboard.push(set);
      }
    }
  }

  static create(sets: Iterable<CrashSet>): CrashEvidence {
    return new CrashEvidence(sets);
  }

  /** Whether a culprit that also crashed without the suspect was aboard; `isOwn` says which keys belong to the suspect. */
  isExplained(
    process: string,
    crashes: ReadonlySet<string>,
    isOwn: (key: string) => boolean,
  ): boolean {
    return this.#aboard(process).some((set) =>
      !isOwn(set.key) && !isSubset(set.crashes, crashes) && this.#isCulprit(set)
    );
  }

  #isCulprit(set: CrashSet): boolean {
    const known = this.#culprits.get(set);
    if (known !== undefined) return known;
    const isCulprit = [...set.crashes].some((process) =>
      this.#aboard(process).every((other) =>
        isSubset(other.crashes, set.crashes)
      )
    );
    this.#culprits.set(set, isCulprit);
    return isCulprit;
  }

  #aboard(process: string): readonly CrashSet[] {
    return this.#byProcess.get(process) ?? [];
  }
}

function isSubset(
  part: ReadonlySet<string>,
  whole: ReadonlySet<string>,
): boolean {
  if (part.size > whole.size) return false;
  for (const one of part) if (!whole.has(one)) return false;
  return true;
}
