import type {
  DaemonId,
  Digest,
  RequestId,
  Revision,
  UpstreamId,
} from "../../src/core/id.ts";
import type { Problem } from "../../src/core/problem.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { ClientRequest } from "./client.ts";
import { hasPoisonBlock } from "./fake_engine.ts";

/** Engines that were lost while a prompt's content ran on them. */
export type Losses = { byPoison: number; byFault: number };

/** A new attempt, and who had said by then that its upstream was leaving. */
export type LeavingAttempt = Readonly<{
  daemon: DaemonId;
  upstream: UpstreamId;
  /** How long it has been known to a daemon that this one could hear. */
  knownForMs: number;
}>;

/** A new attempt of content that crashes engines. */
export type PoisonAttempt = Readonly<{
  daemon: DaemonId;
  content: Digest;
  /** How long a daemon that this one could hear has refused the content. */
  knownForMs: number;
}>;

/** What has happened in a run, as far as the invariants ask for it. */
export class Facts {
  readonly clients: ClientRequest[] = [];
  /** Prompts that an engine has accepted. */
  readonly started = new Set<RequestId>();
  readonly losses = new Map<Digest, Losses>();
  /** Engines that were lost to the shared block that crashes engines. */
  lostToBlock = 0;
  readonly leavingAttempts: LeavingAttempt[] = [];
  readonly poisonAttempts: PoisonAttempt[] = [];
  /** Whether a daemon was killed, paused or cut off, or messages between daemons failed. */
  isDisturbed = false;
  /** Requests that were open at daemons that exited after a drain. */
  readonly cutOff: Readonly<{ daemon: DaemonId; req: RequestId }>[] = [];
  /** Final problems of requests that a daemon had admitted. */
  readonly admittedProblems: Readonly<{ req: RequestId; problem: Problem }>[] =
    [];
  /** Steps back of a revision in force. */
  readonly stepsBack: Readonly<
    { daemon: DaemonId; from: Revision; to: Revision }
  >[] = [];
  /** When a link between daemons last failed. */
  lastDisturbedAt = 0 as Timestamp;

  static create(): Facts {
    return new Facts();
  }

  /** Counts an engine that was lost while these contents ran on it. */
  lose(contents: readonly Digest[], poison: Digest | undefined): void {
    if (poison !== undefined && contents.some(hasPoisonBlock)) {
      this.lostToBlock += 1;
    }
    for (const content of new Set(contents)) {
      const losses = this.losses.get(content) ?? { byPoison: 0, byFault: 0 };
      this.losses.set(content, losses);
      if (poison === undefined) losses.byFault += 1;
      else losses.byPoison += 1;
    }
  }
}
