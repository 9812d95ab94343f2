import type { Incarnation } from "../../src/core/id.ts";
import type { Millis } from "../../src/core/time.ts";
import type { Timers } from "../common/timers.ts";
import type { EngineModelOptions } from "./model_config.ts";

/** Time that an answer without a reader goes on, for a client that comes back. */
export const ORPHAN_MS: Millis = 30_000;
/** Time that a finished answer can be read again. */
export const KEEP_MS: Millis = 60_000;
/** Answers that are kept at a time, running ones included. */
export const MAX_STREAMS = 4_096;
/** Time between two checks that a plan's other engines are there. */
export const PEER_CHECK_MS: Millis = 1_000;

/** How an engine stand-in is set up. */
export type EngineServerConfig =
  & Pick<EngineModelOptions, "loaded">
  & Readonly<{
    /** Other figures of the cost model. */
    model?: Partial<EngineModelOptions>;
    checksFencing?: boolean;
    /** `host:port` of the weight store. */
    weightStore?: string;
    timeScale?: number;
    meanAnswerTokens?: number;
    orphanMs?: Millis;
    keepMs?: Millis;
    pingMs?: Millis;
    peerCheckMs?: Millis;
    seed?: number;
    /** Time of the model and of answers; the system's where absent. */
    timers?: Timers;
    /** Incarnation of the first run; a random one where absent. */
    incarnation?: Incarnation;
    /** Called for a crash; without it the server closes, and `restart` brings it back. */
    onCrash?: () => void;
  }>;
