import type { Millis } from "../../src/core/time.ts";
import { Fleet, type Mutation } from "./fleet.ts";
import { INVARIANTS } from "./invariants/all.ts";
import type { Digest } from "../../src/core/id.ts";
import { Player } from "./player.ts";
import type { Schedule } from "./schedule.ts";

const START_MS: Millis = 5_000;
const AGREE_MS: Millis = 12_000;
const SETTLE_MS: Millis = 35_000;
const PROBE_MS: Millis = 12_000;
const PROBE_TOKENS = 9_000;

/** What a run broke, and how it came to that. */
export type Violation = Readonly<{
  invariant: string;
  detail: string;
  trace: readonly string[];
}>;

/** Plays a schedule, then lets everything settle; returns the first invariant that broke. */
export async function runSchedule(
  schedule: Schedule,
  mutation: Mutation = {},
): Promise<Violation | undefined> {
  const run = new Run(schedule.seed, mutation);
  await run.play(schedule);
  return run.violation;
}

class Run {
  violation: Violation | undefined;
  readonly #fleet: Fleet;
  readonly #player: Player;
  readonly #mutation: Mutation;

  constructor(seed: number, mutation: Mutation) {
    this.#mutation = mutation;
    this.#fleet = Fleet.create(seed, mutation);
    this.#player = Player.create(this.#fleet);
  }

  async play(schedule: Schedule): Promise<void> {
    await this.#pass(START_MS);
    for (const action of schedule.actions) {
      if (this.violation !== undefined) return;
      this.#player.play(action);
      await this.#pass(action.waitMs);
    }
    this.#mutation.fleet?.(this.#fleet);
    this.#fleet.calm();
    this.#fleet.trace.add("schedule", "all faults end");
    await this.#pass(AGREE_MS);
    this.#check("settled", ["daemonsAgree"]);
    await this.#pass(SETTLE_MS);
    this.#check("settled");
    await this.#probe();
  }

  /** Afterwards every daemon serves, and a prompt can have the whole memory of each engine. */
  async #probe(): Promise<void> {
    if (this.violation !== undefined) return;
    const clients = this.#fleet.engines.flatMap((_, index) => {
      const content = `probe-${index}` as Digest;
      return [
        this.#player.prompt(index, { content, promptTokens: PROBE_TOKENS }),
        this.#player.read(index),
      ];
    });
    await this.#pass(PROBE_MS);
    const failed = clients.find((client) =>
      client?.finals[0]?.type !== "answer"
    );
    if (failed !== undefined) {
      this.#report("fleetRecovers", `${failed.id} was not answered`);
    }
  }

  async #pass(ms: Millis): Promise<void> {
    if (this.violation !== undefined) return;
    await this.#fleet.timeline.run(ms, () => {
      this.#check("always");
      return this.violation === undefined;
    });
  }

  #check(when: "always" | "settled", names?: readonly string[]): void {
    if (this.violation !== undefined) return;
    for (const invariant of INVARIANTS) {
      if (invariant.when !== when) continue;
      if (names !== undefined && !names.includes(invariant.name)) continue;
      const detail = invariant.check(this.#fleet);
      if (detail !== undefined) return this.#report(invariant.name, detail);
    }
  }

  #report(invariant: string, detail: string): void {
    this.#fleet.trace.add("INVARIANT", `${invariant}: ${detail}`);
    this.violation = { invariant, detail, trace: this.#fleet.trace.lines };
  }
}
