import { CrashEvidence, type CrashSet } from "./crash_evidence.ts";
import { crashSetName } from "./crash_set.ts";
import { partOfKey } from "./suspect_key.ts";

/**
 * What explains the crashes of contents and parts, by what else was aboard. Keys of one kind with the same crashes have
 * the same answer, which is worked out once.
 */
export class CrashExplanations {
  readonly #sets: readonly CrashSet[];
  #evidence: CrashEvidence | undefined;
  readonly #covered = new Map<string, boolean>();
  readonly #explained = new Map<string, boolean>();

  private constructor(sets: readonly CrashSet[]) {
    this.#sets = sets;
  }

  static create(sets: readonly CrashSet[]): CrashExplanations {
    return new CrashExplanations(sets);
  }

  /**
   * Whether others explain all crashes of a key. Either a part was aboard each of them and, if the key is a part too, at
   * others as well; or each has a culprit of its own.
   */
  isExplained({ key, crashes }: CrashSet): boolean {
    if (crashes.size === 0) return false;
    return answerOnce(
      this.#explained,
      kindOf(key) + crashSetName(crashes),
      () =>
        this.isCoveredByPart({ key, crashes }) ||
        this.#hasCulprits({ key, crashes }),
    );
  }

  /** Whether a part was aboard all crashes of a key and, if the key is a part too, at others as well. */
  isCoveredByPart({ key, crashes }: CrashSet): boolean {
    const isPart = partOfKey(key) !== undefined;
    const minCrashes = isPart ? crashes.size + 1 : crashes.size;
    return answerOnce(
      this.#covered,
      kindOf(key) + crashSetName(crashes),
      () => this.hasCommonPart([...crashes], (_, count) => count >= minCrashes),
    );
  }

  /** Whether a part was aboard all of these crashes, of those that `accepts` by their key and number of crashes. */
  hasCommonPart(
    lost: readonly string[],
    accepts: (key: string, crashes: number) => boolean,
  ): boolean {
    if (lost.length === 0) return false;
    return this.#sets.some(({ key, crashes }) =>
      partOfKey(key) !== undefined && crashes.size >= lost.length &&
      lost.every((process) => crashes.has(process)) &&
      accepts(key, crashes.size)
    );
  }

  #hasCulprits({ key, crashes }: CrashSet): boolean {
    this.#evidence ??= CrashEvidence.create(this.#sets);
    const evidence = this.#evidence;
    return [...crashes].every((process) =>
      evidence.isExplained(process, crashes, (other) => other === key)
    );
  }
}

function kindOf(key: string): string {
  return partOfKey(key) === undefined ? "content " : "part ";
}

function answerOnce(
  answers: Map<string, boolean>,
  name: string,
  answer: () => boolean,
): boolean {
  const known = answers.get(name);
  if (known !== undefined) return known;
  const found = answer();
  answers.set(name, found);
  return found;
}
