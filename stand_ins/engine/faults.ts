import { z } from "zod";

const whole = z.number().int().nonnegative();

/** How an answer can go wrong. */
export const AnswerFaultSchema = z.object({
  type: z.enum([
    /** Ends in an orderly way without its final event. */
    "truncated",
    /** Resets the connection. */
    "reset",
    /** Sends nothing more, and keeps the connection open. */
    "silent",
    /** Sends each event twice. */
    "doubled",
    /** Mixes in another request's events. */
    "crossed",
    /** Sends an earlier token again before the final event. */
    "late",
    /** Leaves one token out. */
    "gap",
    /** Sends something that is no event of the contract. */
    "garbage",
    /** Sends an event that is too large. */
    "huge",
    /** Names another version in the final event. */
    "wrong_weights",
  ]),
  /** Tokens that pass before the fault begins. */
  after: whole.default(0),
  /** Answers that go wrong. */
  times: whole.default(1),
});
/** How an answer goes wrong. */
export type AnswerFault = z.infer<typeof AnswerFaultSchema>;

/** Calls that faults can strike. */
export const CALLS = [
  "generate",
  "resume",
  "cancel",
  "load",
  "state",
  "cache_events",
  "orders",
  "reserve",
  "release",
  "import",
  "export",
] as const;
/** A call that faults can strike. */
export type CallName = (typeof CALLS)[number];

/** How a call can go wrong. */
export const CallFaultSchema = z.object({
  call: z.enum(CALLS),
  type: z.enum([
    /** Never answers; nothing takes effect. */
    "silent",
    /** Resets the connection at once; nothing takes effect. */
    "reset",
    /** Takes effect, then resets the connection in place of the answer. */
    "lost_answer",
    /** Sends something that is not HTTP. */
    "garbage",
    /** Answers 503 without a refusal of the contract. */
    "bare_503",
    /** Refuses as the contract says. */
    "refused",
    /** Breaks off the answer half way. */
    "half",
  ]),
  times: whole.default(1),
});
/** How a call goes wrong. */
export type CallFault = z.infer<typeof CallFaultSchema>;

/** Body of `POST /control` of the engine; what is absent stays as it is. */
export const EngineControlSchema = z.object({
  crash: z.boolean().optional(),
  /** Answers nothing and runs nothing for this long. */
  freeze_ms: whole.max(3_600_000).optional(),
  /** A prompt with this text crashes the engine that runs it; empty for none. */
  poison: z.string().optional(),
  leaving: z.boolean().optional(),
  /** Speed of the engine's time against wall time. */
  time_scale: z.number().positive().max(100_000).optional(),
  answer_fault: AnswerFaultSchema.optional(),
  call_fault: CallFaultSchema.optional(),
}).strict().readonly();
/** Faults of the engine. */
export type EngineControl = z.input<typeof EngineControlSchema>;

const MAX_FAULTS = 64;

/** The faults that are still to come. */
export class Faults {
  #answers: AnswerFault[] = [];
  #calls: CallFault[] = [];

  private constructor() {}

  static create(): Faults {
    return new Faults();
  }

  addAnswer(fault: AnswerFault): void {
    this.#answers = [...this.#answers, { ...fault }].slice(-MAX_FAULTS);
  }

  addCall(fault: CallFault): void {
    this.#calls = [...this.#calls, { ...fault }].slice(-MAX_FAULTS);
  }

  /** Takes the fault of the next answer. */
  takeAnswer(): AnswerFault | undefined {
    return take(this.#answers, () => true);
  }

  /** Takes the fault of a call. */
  takeCall(call: CallName): CallFault["type"] | undefined {
    return take(this.#calls, (fault) => fault.call === call)?.type;
  }
}

function take<Fault extends { times: number }>(
  faults: Fault[],
  matches: (fault: Fault) => boolean,
): Fault | undefined {
  const found = faults.find((fault) => fault.times > 0 && matches(fault));
  if (found) found.times -= 1;
  return found;
}
