import fc from "fast-check";

/** Daemons, engines and service instances of the small fleet. */
export const DAEMONS = 3;
export const ENGINES = 4;
export const SERVICES = 2;

/** How the log service misbehaves. */
export const LOG_FAULTS = ["down", "silent", "deaf", "slow", "late"] as const;
/** How the log service misbehaves. */
export type LogFault = (typeof LOG_FAULTS)[number];

/** What happens to messages between daemons. */
export const PEER_FAULTS = ["lost", "late", "doubled", "crossed"] as const;
/** What happens to messages between daemons. */
export type PeerFault = (typeof PEER_FAULTS)[number];

/** What happens to the next answer of an engine. */
export const STREAM_FAULTS = [
  "refused",
  "connect_failed",
  "reset_before",
  "reset_after",
  "silent_before",
  "silent_after",
  "silent_midway",
  "reset_midway",
  "truncated",
  "doubled",
  "crossed",
  "skipped",
] as const;
/** What happens to the next answer of an engine. */
export type StreamFault = (typeof STREAM_FAULTS)[number];

/** What happens to the next call of a service instance. */
export const CALL_FAULTS = [
  "refused",
  "connect_failed",
  "reset_before",
  "reset_after",
  "silent_before",
  "silent_after",
  "slow",
] as const;
/** What happens to the next call of a service instance. */
export type CallFault = (typeof CALL_FAULTS)[number];

/** One thing that clients, operators or faults do; `waitMs` passes before the next one. */
export type Action =
  & Readonly<{ waitMs: number }>
  & (
    | Readonly<{
      type: "prompt";
      daemon: number;
      tokens: number;
      count: number;
      leavesAfterMs: number;
    }>
    | Readonly<{ type: "poison"; daemon: number; content: number }>
    /** Prompts that differ, but share a leading block that crashes engines. */
    | Readonly<{ type: "poison_block"; daemon: number; count: number }>
    | Readonly<{
      type: "call";
      daemons: readonly number[];
      key: number;
      body: number;
    }>
    | Readonly<{ type: "read"; daemon: number }>
    | Readonly<{ type: "kill"; daemon: number; downMs: number }>
    | Readonly<
      { type: "pause"; daemon: number; ms: number; beforeSend: boolean }
    >
    | Readonly<{ type: "cut"; daemon: number; ms: number }>
    | Readonly<{ type: "drain"; daemon: number }>
    | Readonly<{ type: "peers"; fault: PeerFault; ms: number }>
    | Readonly<{ type: "log"; fault: LogFault; ms: number }>
    | Readonly<{ type: "expire" }>
    | Readonly<{ type: "late_list"; ms: number }>
    | Readonly<{ type: "crash"; engine: number; downMs: number }>
    | Readonly<{ type: "freeze"; engine: number; ms: number }>
    | Readonly<{ type: "leave"; engine: number }>
    | Readonly<
      { type: "stream"; engine: number; fault: StreamFault; at: number }
    >
    | Readonly<{ type: "service"; service: number; fault: CallFault }>
    | Readonly<{ type: "configure"; operators: number }>
  );

/** A run: the seed of all smaller chances, and what happens. */
export type Schedule = Readonly<{ seed: number; actions: readonly Action[] }>;

const daemon = fc.nat(DAEMONS - 1);
const engine = fc.nat(ENGINES - 1);
const waitMs = fc.oneof(
  fc.constant(0),
  fc.integer({ min: 1, max: 60 }),
  fc.integer({ min: 100, max: 6_000 }),
);
const ms = fc.oneof(
  fc.integer({ min: 10, max: 6_000 }),
  fc.integer({ min: 6_000, max: 30_000 }),
);
const downMs = fc.integer({ min: 200, max: 5_000 });

function action<Type extends Action["type"], Fields extends object>(
  type: Type,
  fields: Fields,
) {
  return fc.record({
    waitMs,
    type: fc.constant(type),
    ...fields,
  }) as fc.Arbitrary<Action>;
}

const work = fc.oneof(
  action("prompt", {
    daemon,
    tokens: fc.oneof(
      fc.integer({ min: 1, max: 3_000 }),
      fc.integer({ min: 5_000, max: 9_000 }),
    ),
    count: fc.integer({ min: 1, max: 6 }),
    leavesAfterMs: fc.constantFrom(0, 0, 0, 50, 300),
  }),
  action("call", {
    daemons: fc.array(daemon, { minLength: 1, maxLength: 2 }),
    key: fc.nat(5),
    body: fc.constantFrom(0, 0, 0, 1),
  }),
  action("read", { daemon }),
);

const fault = fc.oneof(
  action("poison", { daemon, content: fc.nat(1) }),
  action("kill", { daemon, downMs }),
  action("pause", { daemon, ms, beforeSend: fc.boolean() }),
  action("cut", { daemon, ms }),
  action("drain", { daemon }),
  action("peers", { fault: fc.constantFrom(...PEER_FAULTS), ms }),
  action("log", { fault: fc.constantFrom(...LOG_FAULTS), ms }),
  action("expire", {}),
  action("late_list", { ms }),
  action("crash", { engine, downMs }),
  action("freeze", { engine, ms }),
  action("leave", { engine }),
  action("stream", {
    engine,
    fault: fc.constantFrom(...STREAM_FAULTS),
    at: fc.nat(4),
  }),
  action("service", {
    service: fc.nat(SERVICES - 1),
    fault: fc.constantFrom(...CALL_FAULTS),
  }),
  action("configure", {
    operators: fc.integer({ min: 1, max: 2 }),
  }),
);

/** Draws schedules; shorter ones are simpler. */
export const schedules = schedulesOf(work, fault, fault);

/** Draws schedules with leading blocks that crash engines; apart from the others, so that their seeds stay valid. */
export const blockSchedules = schedulesOf(
  work,
  fault,
  action("poison_block", { daemon, count: fc.integer({ min: 1, max: 12 }) }),
);

function schedulesOf(
  ...actions: readonly fc.Arbitrary<Action>[]
): fc.Arbitrary<Schedule> {
  return fc.record({
    seed: fc.nat(0x7fff_ffff),
    actions: fc.array(fc.oneof(...actions), {
      minLength: 3,
      maxLength: 30,
      size: "max",
    }),
  });
}

/** A fault that waits for an engine's next answer. */
export type ArmedFault = Readonly<{ fault: StreamFault; at: number }>;
