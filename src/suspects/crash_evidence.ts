import { crashSetName } from "./crash_set.ts";

/** Crashes after which a suspect may explain the crashes of others. */
const MIN_CULPRIT_CRASHES = 2;

/** What may crash upstreams, and the processes that ended with it aboard. */
export type CrashSet = Readonly<{ key: string; crashes: ReadonlySet<string> }>;

/**
 * What the crashes of a suspect say: each is `explained` by a culprit; others may have caused them, which shows soon
 * (`open`); or it is `guilty`.
 */
export type CrashVerdict = "explained" | "open" | "guilty";

/** Suspects with the same crashes, which say the same; the parts of one prompt mostly do. */
type CrashGroup = Readonly<
  { crashes: ReadonlySet<string>; keys: readonly string[] }
>;

/**
 * Says which suspects explain the crashes of others. A culprit has crashed at least twice, and at one of its crashes
 * each other such suspect was aboard of no crash that the culprit missed. So no culprit has all its crashes explained,
 * and suspects can't excuse each other.
 */
export class CrashEvidence {
  readonly #byProcess = new Map<string, CrashGroup[]>();
  readonly #culprits = new Map<CrashGroup, boolean>();

  private constructor(sets: Iterable<CrashSet>) {
    for (const group of groupByCrashes(sets)) {
      for (const process of group.crashes) {
        const aboard = this.#byProcess.get(process) ?? [];
        this.#byProcess.set(process, aboard);
        aboard.push(group);
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
    return this.#aboard(process).some((group) =>
      !isSubset(group.crashes, crashes) && this.#isCulprit(group) &&
      !group.keys.every(isOwn)
    );
  }

  #isCulprit(group: CrashGroup): boolean {
    const known = this.#culprits.get(group);
    if (known !== undefined) return known;
    const isCulprit = [...group.crashes].some((process) =>
      this.#aboard(process).every((other) =>
        isSubset(other.crashes, group.crashes)
      )
    );
    this.#culprits.set(group, isCulprit);
    return isCulprit;
  }

  #aboard(process: string): readonly CrashGroup[] {
    return this.#byProcess.get(process) ?? [];
  }
}

/** Groups those that may be culprits. */
function groupByCrashes(sets: Iterable<CrashSet>): Iterable<CrashGroup> {
  const groups = new Map<
    string,
    { crashes: ReadonlySet<string>; keys: string[] }
  >();
  for (const { key, crashes } of sets) {
    if (crashes.size < MIN_CULPRIT_CRASHES) continue;
    const name = crashSetName(crashes);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, { crashes, keys: [key] });
    else group.keys.push(key);
  }
  return groups.values();
}

function isSubset(
  part: ReadonlySet<string>,
  whole: ReadonlySet<string>,
): boolean {
  if (part.size > whole.size) return false;
  for (const one of part) if (!whole.has(one)) return false;
  return true;
}
