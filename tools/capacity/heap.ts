import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes of the heap that are in use after a full collection. */
export function heapBytes(): number {
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

/** Bytes that what `build` returns keeps on the heap. */
export function heapOf(build: () => unknown): number {
  const before = heapBytes();
  const kept = build();
  const after = heapBytes();
  // Reading it here keeps it alive until after the measurement.
  return kept === undefined ? 0 : after - before;
}
