import type { Digest, RequestId } from "../core/id.ts";
import { type Millis, MINUTE_MS, type Timestamp } from "../core/time.ts";
import { ContentTable } from "./content_table.ts";
import type { CrashSet, CrashVerdict } from "./crash_evidence.ts";
import { RecentSuccesses } from "./recent_successes.ts";
import { partKey, partOfKey } from "./suspect_key.ts";

/** Holds the blocks of some thousand prompts. */
const MAX_ANSWERED_BLOCKS = 65_536;
const MAX_SUSPECT_BLOCKS = 4_096;
const SUSPECT_RETENTION_MS: Millis = 10 * MINUTE_MS;
/** Blocks that one crash counts against. Prompts that share a block share all earlier ones, so the first ones suffice. */
const MAX_BLAMED_BLOCKS = 16;
const MAX_TRIALS = 256;

/** A leading block that may crash engines. */
export type BlockSuspicion = Readonly<{
  block: Digest;
  /** Position of the block in the prompt. */
  index: number;
  /** Confirmed crashes; 0 if an engine only fell silent over the block. */
  crashes: number;
  /** Time until the next trial, 0 for the request that is the trial; absent if the block is not quarantined. */
  trialWaitMs?: Millis;
  /** Whether other suspects may have caused its crashes, which shows soon. */
  isOpen?: boolean;
}>;

/**
 * Leading blocks of prompts that may crash the engines that run them. An answer clears all blocks of its prompt; a
 * crash counts against those that were not answered. Blocks are digests as shortened for messages.
 */
export class BlockSuspects {
  readonly #table = ContentTable.create({
    suspectRetentionMs: SUSPECT_RETENTION_MS,
    maxContents: 0,
    maxParts: MAX_SUSPECT_BLOCKS,
  });
  readonly #answered = RecentSuccesses.create({ maxKeys: MAX_ANSWERED_BLOCKS });
  /** Quarantined blocks of the requests that are trials, as keys of the table. */
  readonly #trials = new Map<RequestId, readonly string[]>();

  static create(): BlockSuspects {
    return new BlockSuspects();
  }

  /** Number of blocks that crashed an engine and were not cleared. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Counts a crash against the blocks of a prompt and returns those that it counts against. An answered block is
   * spared once; the crash of an attempt that was sent after that counts, if nothing was answered in between.
   */
  recordCrash(
    blocks: readonly Digest[],
    crash: Readonly<{ process: string; sentAt?: Timestamp }>,
    now: Timestamp,
  ): readonly Digest[] {
    const sentAt = crash.sentAt ?? (-Infinity as Timestamp);
    const blamed = blocks.filter((block) => {
      const key = partKey(block);
      return !this.#answered.has(key, now) ||
        this.#answered.revoke(key, now, { sentAt });
    }).slice(0, MAX_BLAMED_BLOCKS);
    for (const block of blamed) {
      this.#table.recordCrash(partKey(block), crash.process, now);
    }
    return blamed;
  }

  /** The blocks that a crash would count against, if none was spared before. */
  unanswered(blocks: readonly Digest[], now: Timestamp): readonly Digest[] {
    return blocks.filter((block) => !this.#answered.has(partKey(block), now))
      .slice(0, MAX_BLAMED_BLOCKS);
  }

  /** Clears the blocks of an answered prompt; returns those that had crashed an engine. */
  recordAnswer(blocks: readonly Digest[], now: Timestamp): readonly Digest[] {
    // The first blocks are shared most, so they are recorded last and evicted last.
    return [...blocks].reverse().filter((block) => {
      const key = partKey(block);
      this.#answered.record(key, now);
      return this.#table.clear(key, now) > 0;
    });
  }

  /** Blocks that crashed engines, with their processes. */
  crashSets(): readonly CrashSet[] {
    return this.#table.crashSets();
  }

  /** Whether a block of a prompt has crashed an engine and was not cleared. */
  hasCrashed(blocks: readonly Digest[]): boolean {
    return blocks.some((block) => this.#table.crashes(partKey(block)) > 0);
  }

  /** The worst suspicion against a prompt; engines that ran `silentBlocks` fell silent. */
  suspicionOf(
    blocks: readonly Digest[],
    request: RequestId,
    options: Readonly<
      {
        now: Timestamp;
        silentBlocks: ReadonlySet<Digest>;
        /** What else may have caused the crashes of a block. */
        judge: (block: Digest, crashes: ReadonlySet<string>) => CrashVerdict;
      }
    >,
  ): BlockSuspicion | undefined {
    const { now, silentBlocks, judge } = options;
    let worst: BlockSuspicion | undefined;
    for (const [index, block] of blocks.entries()) {
      const key = partKey(block);
      const processes = this.#table.processes(key);
      const crashes = processes.size;
      const isSuspect = crashes > 0 ||
        (silentBlocks.has(block) && !this.#answered.has(key, now));
      if (!isSuspect) continue;
      const { explanations } = this.#table;
      if (explanations.isCoveredByPart({ key, crashes: processes })) continue;
      const verdict = crashes === 0 ? undefined : judge(block, processes);
      if (verdict === "explained") continue;
      const trialWaitMs = this.#table.isTrial(key, request)
        ? 0
        : this.#table.trialWaitMs(key, now);
      const isOpen = trialWaitMs !== undefined && verdict === "open";
      const found = { block, index, crashes, trialWaitMs, isOpen };
      if (worst === undefined || severity(found) > severity(worst)) {
        worst = found;
      }
    }
    return worst;
  }

  /**
   * Whether another block explains all crashes of a prompt: it was aboard each of them, and either at others as well or
   * in several prompts, as `isShared` says.
   */
  explains(
    crashes: readonly string[],
    blocks: readonly Digest[],
    isShared: (block: Digest) => boolean,
  ): boolean {
    const own = new Set(blocks.map(partKey));
    return this.#table.explanations.hasCommonPart(crashes, (key, size) => {
      if (own.has(key)) return false;
      return size > crashes.length || isShared(blockOfKey(key));
    });
  }

  /** Makes a request the trial of the quarantined blocks of its prompt; returns whether it was not one before. */
  startTrial(
    blocks: readonly Digest[],
    request: RequestId,
    now: Timestamp,
  ): boolean {
    const keys = blocks.map(partKey).filter((key) =>
      this.#table.trialWaitMs(key, now) === 0 &&
      !this.#table.isTrial(key, request)
    );
    for (const key of keys) this.#table.startTrial(key, request, now);
    if (keys.length === 0) return false;
    this.#trials.set(request, [...this.#trials.get(request) ?? [], ...keys]);
    const [oldest] = this.#trials.keys();
    if (this.#trials.size > MAX_TRIALS) this.#trials.delete(oldest!);
    return true;
  }

  /** Ends a trial whose engine fell silent or crashed; the next one comes later. */
  useUpTrial(request: RequestId): void {
    for (const key of this.#trials.get(request) ?? []) {
      this.#table.useUpTrial(key, request);
    }
    this.#trials.delete(request);
  }

  /** Gives back a trial that ended without an answer or a crash. */
  endTrial(request: RequestId, sent: "may_be_sent" | "never_sent"): void {
    for (const key of this.#trials.get(request) ?? []) {
      this.#table.cancelTrial(key, request, sent);
    }
    this.#trials.delete(request);
  }

  /** Drops blocks past their retention time. */
  expire(now: Timestamp): void {
    this.#table.expire(now);
  }
}

/** A refusal goes before a wait, a wait before a trial. */
function severity({ trialWaitMs, isOpen }: BlockSuspicion): number {
  if (trialWaitMs === undefined) return 0;
  if (isOpen) return 2;
  return trialWaitMs > 0 ? 2 + trialWaitMs : 1;
}

function blockOfKey(key: string): Digest {
  return partOfKey(key)! as string as Digest;
}
