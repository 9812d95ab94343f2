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
];
