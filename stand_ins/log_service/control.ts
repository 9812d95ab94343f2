import { z } from "zod";

const TargetSchema = z.enum(["none", "appends", "reads", "both"]);
const whole = z.number().int().nonnegative();

/** Body of `POST /control` of the log service; what is absent stays as it is. */
export const LogControlSchema = z.object({
  /** Answers 503. */
  outage: TargetSchema.optional(),
  /** Takes the call and never answers; a hanging append takes no effect. */
  hang: TargetSchema.optional(),
  /** Delay of each answer. */
  delay_ms: whole.max(600_000).optional(),
  /** The next appends that reset the connection without effect. */
  reset_before_append: whole.optional(),
  /** The next appends that take effect and then reset the connection. */
  reset_after_append: whole.optional(),
  /** The next appends that take effect and then answer 500. */
  error_after_append: whole.optional(),
  /** Answers 200 with a body that is not what the contract says. */
  malformed: TargetSchema.optional(),
  /** Leaves the first record out of each answer to a read. */
  leave_out: z.boolean().optional(),
  /** Expires records below an offset. */
  expire: z.object({ stream: z.string(), below: whole }).optional(),
}).strict().readonly();
/** Faults of the log service. */
export type LogControl = z.infer<typeof LogControlSchema>;

/** Whether a fault that is set for `target` meets a kind of call. */
export function meets(
  target: z.infer<typeof TargetSchema> | undefined,
  kind: "appends" | "reads",
): boolean {
  return target === "both" || target === kind;
}
