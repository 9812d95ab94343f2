import type { Millis } from "../../core/time.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";
import type { SilenceLimits } from "./silence_limits.ts";

/** Watches for the silence of one upstream: calls `onLimit` at the silence limit, and again for each further gap. */
export class SilenceWatch {
  readonly #limits: SilenceLimits;
  readonly #onLimit: (limitMs: Millis) => void;
  #timer: ReadFirstTimer | undefined;
  #silentMs: Millis = 0;

  private constructor(
    limits: SilenceLimits,
    onLimit: (limitMs: Millis) => void,
  ) {
    this.#limits = limits;
    this.#onLimit = onLimit;
  }

  static create(
    limits: SilenceLimits,
    options: Readonly<{ onLimit: (limitMs: Millis) => void }>,
  ): SilenceWatch {
    return new SilenceWatch(limits, options.onLimit);
  }

  /** Length of the silence at the last limit that it reached; 0 if the upstream is not silent. */
  get silentMs(): Millis {
    return this.#silentMs;
  }

  start(): void {
    this.#restart(this.#limits.firstMs);
  }

  /** Records data of the upstream, which ends its silence. */
  heard(): void {
    this.#silentMs = 0;
    this.#restart(this.#limits.gapMs);
  }

  stop(): void {
    this.#timer?.stop();
  }

  #restart(limitMs: Millis): void {
    this.#timer?.stop();
    this.#timer = ReadFirstTimer.start(() => {
      this.#silentMs += limitMs;
      this.#restart(this.#limits.gapMs);
      this.#onLimit(limitMs);
    }, limitMs);
  }
}
