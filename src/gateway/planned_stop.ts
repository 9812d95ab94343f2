import type { Millis, Timestamp } from "../core/time.ts";
import type { LogFields } from "./event_log.ts";

/** How often a draining daemon checks whether it may exit. */
const CHECK_INTERVAL_MS: Millis = 100;
/** Minimum time of a drain: clients with an older response of the directory may still connect. */
const MIN_DRAIN_MS: Millis = 3_200;
/** Part of the grace period that is left when open requests get their final response. */
const CUT_MARGIN_FRACTION = 0.1;
/** Part of it that is left when the process exits, whether its clients have read all or not. */
const EXIT_MARGIN_FRACTION = 0.05;

/** What a planned stop needs of the daemon. */
export type StopPort = Readonly<{
  now: () => Timestamp;
  openRequests: () => number;
  /** Applies the limits of the stop to all open requests. */
  drain: () => void;
  /** Gives each open request its final response. */
  cut: () => void;
  line: (kind: string, fields: LogFields) => void;
  /** Writes buffered log lines. */
  flush: () => void;
  /** Closes the servers and the log, and ends the process. */
  exit: () => void;
}>;

/** Time from the start of a stop until open requests get their final response. */
export function drainTimeMs(graceMs: Millis): Millis {
  return graceMs * (1 - CUT_MARGIN_FRACTION);
}

function exitTimeMs(graceMs: Millis): Millis {
  return graceMs * (1 - EXIT_MARGIN_FRACTION);
}

/** A planned stop: serves what can be finished within the grace period, gives all else a final response, and exits. */
export class PlannedStop {
  readonly #port: StopPort;
  readonly #graceMs: Millis;
  readonly #startedAt: Timestamp;
  #timer: NodeJS.Timeout | undefined;
  #isCut = false;

  private constructor(port: StopPort, graceMs: Millis) {
    this.#port = port;
    this.#graceMs = graceMs;
    this.#startedAt = port.now();
  }

  /** Begins the stop of a daemon that is killed `graceMs` later. */
  static begin(port: StopPort, graceMs: Millis): PlannedStop {
    const stop = new PlannedStop(port, graceMs);
    port.line("stop", { open: port.openRequests() });
    port.drain();
    stop.#timer = setInterval(() => stop.#check(), CHECK_INTERVAL_MS);
    return stop;
  }

  #check(): void {
    const elapsedMs = this.#port.now() - this.#startedAt;
    if (this.#isCut || elapsedMs < drainTimeMs(this.#graceMs)) {
      return this.#exitIfDone();
    }
    this.#isCut = true;
    // After a stall, timers run before sockets are read: answers that have arrived are delivered first.
    setImmediate(() => {
      this.#port.cut();
      this.#exitIfDone();
    });
  }

  #exitIfDone(): void {
    const port = this.#port;
    const elapsedMs = port.now() - this.#startedAt;
    const open = port.openRequests();
    // Lines that are only buffered are lost if the process is killed at the end of the grace period.
    port.flush();
    const done = open === 0 && (elapsedMs >= MIN_DRAIN_MS || this.#isCut);
    if (!done && elapsedMs < exitTimeMs(this.#graceMs)) return;
    clearInterval(this.#timer);
    port.line("stopped", { open, ms: Math.round(elapsedMs) });
    port.exit();
  }
}
