import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { v7 } from "uuid";
import type { Timestamp } from "./time.ts";

const UINT32_RANGE = 2 ** 32;

/** Seeded pseudo-random generator; the only source of randomness in the core. */
export class Random {
  readonly #generator: RandomGenerator;

  private constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  static create(seed: number): Random {
    return new Random(seed);
  }

  /** Returns a number in [0, 1). */
  next(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }

  /** Returns an integer in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Returns a UUIDv7 issued at `now`. */
  uuid(now: Timestamp): string {
    const random = Uint8Array.from({ length: 16 }, () => this.below(256));
    return v7({ msecs: now, random });
  }
}
