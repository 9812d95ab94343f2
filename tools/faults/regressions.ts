import type { Schedule } from "./schedule.ts";

/** Shortened schedules that once broke an invariant, with the cause. */
export const REGRESSIONS: readonly Readonly<
  { name: string; schedule: Schedule }
>[] = [
  {
    name:
      "seed 101: A copy was placed while a frozen engine still had content that had crashed another.",
    schedule: {
      "seed": 0,
      "actions": [
        { "waitMs": 46, "type": "poison", "daemon": 0, "content": 0 },
        { "waitMs": 1, "type": "freeze", "engine": 1, "ms": 6000 },
        {
          "waitMs": 666,
          "type": "stream",
          "engine": 0,
          "fault": "refused",
          "at": 0,
        },
        {
          "waitMs": 0,
          "type": "prompt",
          "daemon": 0,
          "tokens": 1,
          "count": 1,
          "leavesAfterMs": 0,
        },
        { "waitMs": 3282, "type": "configure", "operators": 1 },
        { "waitMs": 51, "type": "leave", "engine": 0 },
      ],
    },
  },
  {
    name:
      "seed 17058: An engine froze, thawed and crashed over runs that had been cancelled, so that it was not counted.",
    schedule: {
      "seed": 0,
      "actions": [
        { "waitMs": 1, "type": "freeze", "engine": 0, "ms": 5002 },
        { "waitMs": 0, "type": "poison", "daemon": 0, "content": 0 },
        { "waitMs": 3001, "type": "call", "daemons": [0], "key": 0, "body": 0 },
        {
          "waitMs": 2579,
          "type": "stream",
          "engine": 0,
          "fault": "silent_before",
          "at": 0,
        },
        { "waitMs": 2838, "type": "drain", "daemon": 0 },
        {
          "waitMs": 37,
          "type": "stream",
          "engine": 3,
          "fault": "silent_midway",
          "at": 3,
        },
        { "waitMs": 720, "type": "cut", "daemon": 2, "ms": 26995 },
      ],
    },
  },
  {
    name:
      "seed 9103: A prompt ran beside a block and then beside a content that crash engines, and was quarantined.",
    schedule: {
      "seed": 0,
      "actions": [
        { "waitMs": 0, "type": "poison_block", "daemon": 2, "count": 1 },
        {
          "waitMs": 1,
          "type": "prompt",
          "daemon": 0,
          "tokens": 591,
          "count": 5,
          "leavesAfterMs": 0,
        },
        { "waitMs": 50, "type": "poison_block", "daemon": 1, "count": 6 },
        { "waitMs": 59, "type": "poison", "daemon": 1, "content": 0 },
        { "waitMs": 15, "type": "configure", "operators": 1 },
        { "waitMs": 4030, "type": "poison_block", "daemon": 1, "count": 2 },
        { "waitMs": 0, "type": "kill", "daemon": 1, "downMs": 1538 },
        { "waitMs": 115, "type": "late_list", "ms": 28453 },
        { "waitMs": 0, "type": "poison_block", "daemon": 2, "count": 4 },
        { "waitMs": 23, "type": "crash", "engine": 3, "downMs": 476 },
        {
          "waitMs": 49,
          "type": "prompt",
          "daemon": 1,
          "tokens": 7887,
          "count": 4,
          "leavesAfterMs": 0,
        },
      ],
    },
  },
  {
    name:
      "seed 9107: A prompt ran beside a content and then beside a block that crash engines, and was quarantined.",
    schedule: {
      "seed": 0,
      "actions": [
        {
          "waitMs": 0,
          "type": "prompt",
          "daemon": 0,
          "tokens": 5000,
          "count": 1,
          "leavesAfterMs": 0,
        },
        { "waitMs": 1, "type": "poison", "daemon": 0, "content": 0 },
        { "waitMs": 25, "type": "leave", "engine": 0 },
        {
          "waitMs": 12,
          "type": "prompt",
          "daemon": 0,
          "tokens": 5000,
          "count": 3,
          "leavesAfterMs": 0,
        },
        { "waitMs": 0, "type": "late_list", "ms": 192 },
        { "waitMs": 24, "type": "freeze", "engine": 1, "ms": 804 },
        { "waitMs": 0, "type": "poison_block", "daemon": 1, "count": 10 },
        { "waitMs": 5776, "type": "read", "daemon": 2 },
        { "waitMs": 0, "type": "call", "daemons": [2, 1], "key": 1, "body": 1 },
        {
          "waitMs": 0,
          "type": "stream",
          "engine": 2,
          "fault": "silent_after",
          "at": 0,
        },
      ],
    },
  },
  {
    name:
      "seed 9303: A crash was counted as that of the engine's last run, and explained by what had crashed that one.",
    schedule: {
      "seed": 0,
      "actions": [
        { "waitMs": 963, "type": "read", "daemon": 0 },
        { "waitMs": 2, "type": "poison_block", "daemon": 0, "count": 2 },
        { "waitMs": 0, "type": "call", "daemons": [1, 2], "key": 0, "body": 1 },
        { "waitMs": 0, "type": "poison_block", "daemon": 1, "count": 2 },
        { "waitMs": 4657, "type": "poison_block", "daemon": 2, "count": 5 },
        { "waitMs": 0, "type": "poison", "daemon": 0, "content": 1 },
        { "waitMs": 2526, "type": "late_list", "ms": 22864 },
        {
          "waitMs": 0,
          "type": "stream",
          "engine": 2,
          "fault": "skipped",
          "at": 3,
        },
        { "waitMs": 45, "type": "poison_block", "daemon": 0, "count": 7 },
        { "waitMs": 0, "type": "drain", "daemon": 1 },
        { "waitMs": 0, "type": "expire" },
        { "waitMs": 0, "type": "poison_block", "daemon": 2, "count": 3 },
        { "waitMs": 2, "type": "peers", "fault": "crossed", "ms": 21199 },
        { "waitMs": 0, "type": "poison_block", "daemon": 0, "count": 12 },
        { "waitMs": 3273, "type": "poison_block", "daemon": 2, "count": 8 },
        { "waitMs": 32, "type": "late_list", "ms": 3715 },
        {
          "waitMs": 3918,
          "type": "prompt",
          "daemon": 0,
          "tokens": 5328,
          "count": 5,
          "leavesAfterMs": 300,
        },
        { "waitMs": 856, "type": "late_list", "ms": 3804 },
        { "waitMs": 38, "type": "poison_block", "daemon": 0, "count": 12 },
        { "waitMs": 2536, "type": "crash", "engine": 2, "downMs": 4599 },
        { "waitMs": 5647, "type": "poison_block", "daemon": 2, "count": 10 },
        { "waitMs": 0, "type": "expire" },
        { "waitMs": 0, "type": "poison_block", "daemon": 2, "count": 10 },
        {
          "waitMs": 0,
          "type": "prompt",
          "daemon": 1,
          "tokens": 207,
          "count": 4,
          "leavesAfterMs": 0,
        },
        { "waitMs": 181, "type": "crash", "engine": 1, "downMs": 3288 },
      ],
    },
  },
];
