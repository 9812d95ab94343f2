import type { Blackboard } from "../board/blackboard.ts";
import type { Suspect } from "../board/quarantine_section.ts";
import type { Digest } from "../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import {
  CrashEvidence,
  type CrashVerdict,
} from "../suspects/crash_evidence.ts";
import { partKey } from "../suspects/suspect_key.ts";
import { CRASHES_TO_QUARANTINE } from "./crash_limit.ts";

/** Time after the last crash for which a suspect waits until other suspects have run again. */
const MAX_OPEN_MS: Millis = 10 * SECOND_MS;
/** Time in which the reports of all that ran on an engine arrive: two heartbeats. */
const REPORT_MS: Millis = 2 * SECOND_MS;

/** Content, or one of its blocks, with the crashes that it was aboard of. */
type CrashSuspect = Readonly<{
  crashes: ReadonlySet<string>;
  isOwnKey: (key: string) => boolean;
  /** Whether another content has it as well. */
  isIn: (digest: Digest, blocks: readonly Digest[]) => boolean;
}>;

/** Judges the crashes of contents and blocks by what else was aboard. */
export class CrashJudge {
  readonly #board: Blackboard;
  readonly #now: Timestamp;
  readonly #evidence: CrashEvidence;

  private constructor(board: Blackboard, now: Timestamp) {
    this.#board = board;
    this.#now = now;
    const { suspects, blocks } = board.quarantine;
    const contents = [...suspects].map(([key, { crashes }]) => ({
      key,
      crashes: new Set(crashes),
    }));
    this.#evidence = CrashEvidence.create([...contents, ...blocks.crashSets()]);
  }

  static create(board: Blackboard, now: Timestamp): CrashJudge {
    return new CrashJudge(board, now);
  }

  /** Judges a content; undefined if it has not crashed enough engines to be quarantined. */
  judgeContent(digest: Digest): CrashVerdict | undefined {
    const known = this.#board.quarantine.suspects.get(digest);
    if (known === undefined) return undefined;
    if (known.crashes.length < CRASHES_TO_QUARANTINE) return undefined;
    if (this.#isCoveredByBlock(known)) return "explained";
    const own = new Set<string>([digest, ...(known.blocks ?? []).map(partKey)]);
    return this.#judge({
      crashes: new Set(known.crashes),
      isOwnKey: (key) => own.has(key),
      isIn: (other) => other === digest,
    });
  }

  judgeBlock(block: Digest, crashes: ReadonlySet<string>): CrashVerdict {
    const own = partKey(block);
    return this.#judge({
      crashes,
      isOwnKey: (key) => key === own,
      isIn: (_, blocks) => blocks.includes(block),
    });
  }

  /** Whether a block of other prompts was aboard all crashes of a content. */
  #isCoveredByBlock({ crashes, blocks = [] }: Suspect): boolean {
    const { quarantine } = this.#board;
    return quarantine.blocks.explains(crashes, blocks, (block) => {
      const sharing = [...quarantine.suspects.values()]
        .filter((one) => one.blocks?.includes(block));
      return sharing.length > 1;
    });
  }

  #judge(suspect: CrashSuspect): CrashVerdict {
    const { crashes, isOwnKey } = suspect;
    const left = [...crashes].filter((process) =>
      !this.#evidence.isExplained(process, crashes, isOwnKey)
    );
    if (left.length === 0) return "explained";
    if (left.some((process) => !this.#mayBeOfOthers(process, suspect))) {
      return "guilty";
    }
    const { aboard } = this.#board.quarantine;
    const lastAt = Math.max(
      ...[...crashes].map((process) => aboard.get(process)?.at ?? 0),
    );
    return this.#now - lastAt < MAX_OPEN_MS ? "open" : "guilty";
  }

  /** Whether others that were aboard, and may run once more, are not cleared. */
  #mayBeOfOthers(process: string, { isIn }: CrashSuspect): boolean {
    if (this.#awaitsReports(process, isIn)) return true;
    const { suspects } = this.#board.quarantine;
    for (const [digest, { crashes, blocks = [] }] of suspects) {
      if (crashes.length >= CRASHES_TO_QUARANTINE) continue;
      if (crashes.includes(process) && !isIn(digest, blocks)) return true;
    }
    return false;
  }

  /** Whether others were placed on the engine whose daemons may still report that they ran there. */
  #awaitsReports(process: string, isIn: CrashSuspect["isIn"]): boolean {
    const { suspects, aboard, answered } = this.#board.quarantine;
    const known = aboard.get(process);
    if (known === undefined || this.#now - known.at >= REPORT_MS) return false;
    if (known.contents === undefined) return true;
    return known.contents.some(({ digest, blocks }) =>
      !suspects.has(digest) && answered.lastAt(digest) === undefined &&
      !isIn(digest, blocks)
    );
  }
}
